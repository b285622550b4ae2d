/**
 * Metrics in the Prometheus text format, which a scraper fetches. The label names of a metric are
 * those of its first use. The number of label sets is limited: further sets are counted under the
 * value `other`.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Metrics, MetricTags } from '../common/metrics.js';

/** Metrics that can be rendered as text. */
export interface ScrapedMetrics extends Metrics {
  readonly contentType: string;
  readonly text: () => Promise<string>;
}

const prefix = 'shallotquay_';

/** Limit per metric; the routes, upstreams and refusal kinds of an installation stay below it. */
const maximumLabelSets = 200;

const overflowLabelValue = 'other';

/** Upper bounds of the latency buckets, from a simple call inside a zone to the longest item. */
const latencyBucketsMilliseconds = [5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800];

/** Converts `calls.refused` to `shallotquay_calls_refused`. */
const metricName = (name: string): string =>
  prefix + name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`).replace(/\W/g, '_');

type Labels = Record<string, string>;

/** Creates a function that replaces label values once a metric has too many label sets. */
const createLabelLimiter = (): ((tags: MetricTags) => Labels) => {
  const seenLabelSets = new Set<string>();
  return (tags) => {
    const key = JSON.stringify(tags);
    if (!seenLabelSets.has(key) && seenLabelSets.size >= maximumLabelSets) {
      return Object.fromEntries(Object.keys(tags).map((name) => [name, overflowLabelValue]));
    }
    seenLabelSets.add(key);
    return { ...tags };
  };
};

interface BoundedMetric<Metric> {
  readonly metric: Metric;
  readonly limitLabels: (tags: MetricTags) => Labels;
}

type CreateMetric<Metric> = (name: string, labelNames: string[]) => Metric;

/** Creates a function that returns the metric of a name and creates it on first use. */
const createMetricFamily = <Metric>(create: CreateMetric<Metric>) => {
  const metrics = new Map<string, BoundedMetric<Metric>>();
  return (name: string, tags: MetricTags): BoundedMetric<Metric> => {
    const existing = metrics.get(name);
    if (existing !== undefined) return existing;
    const metric = create(metricName(name), Object.keys(tags));
    const created = { metric, limitLabels: createLabelLimiter() };
    metrics.set(name, created);
    return created;
  };
};

/** Creates the metrics registry of a process. */
export const createScrapedMetrics = (): ScrapedMetrics => {
  const registry = new Registry();
  const registers = [registry];
  const counters = createMetricFamily(
    (name, labelNames) => new Counter({ name: `${name}_total`, help: name, labelNames, registers }),
  );
  const gauges = createMetricFamily(
    (name, labelNames) => new Gauge({ name, help: name, labelNames, registers }),
  );
  const histograms = createMetricFamily(
    (name, labelNames) =>
      new Histogram({
        name: `${name}_milliseconds`,
        help: name,
        labelNames,
        buckets: latencyBucketsMilliseconds,
        registers,
      }),
  );
  return {
    contentType: registry.contentType,
    text: () => registry.metrics(),
    count: (name, amount = 1, tags = {}) => {
      const { metric, limitLabels } = counters(name, tags);
      metric.inc(limitLabels(tags), amount);
    },
    gauge: (name, value, tags = {}) => {
      const { metric, limitLabels } = gauges(name, tags);
      metric.set(limitLabels(tags), value);
    },
    observe: (name, latency, tags = {}) => {
      const { metric, limitLabels } = histograms(name, tags);
      metric.observe(limitLabels(tags), latency);
    },
  };
};
