/**
 * Metrics that a scraper fetches, in its text form. A metric takes the names of its labels from its first
 * use. Values of labels are bounded: what comes after the bound is counted under one value for the rest.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Metrics, MetricTags } from '../common/metrics.js';

/** Metrics with the text of their present values. */
export interface ScrapedMetrics extends Metrics {
  readonly contentType: string;
  readonly text: () => Promise<string>;
}

const prefix = 'shallotquay_';

/** Label sets of one metric; routes, upstreams and kinds of refusals of an installation stay below it. */
const maximumLabelSets = 200;

const otherValue = 'other';

/** Upper bounds of the classes of latencies, from a plain call inside a zone to the longest item. */
const latencyMilliseconds = [5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800];

/** `calls.refused` becomes `shallotquay_calls_refused`. */
const metricName = (name: string): string =>
  prefix + name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`).replace(/\W/g, '_');

type Labels = Record<string, string>;

/** Replaces the values of labels once a metric has too many sets of them. */
const createLabelBound = (): ((tags: MetricTags) => Labels) => {
  const known = new Set<string>();
  return (tags) => {
    const key = JSON.stringify(tags);
    if (!known.has(key) && known.size >= maximumLabelSets) {
      return Object.fromEntries(Object.keys(tags).map((name) => [name, otherValue]));
    }
    known.add(key);
    return { ...tags };
  };
};

interface BoundedMetric<Metric> {
  readonly metric: Metric;
  readonly labelsOf: (tags: MetricTags) => Labels;
}

type CreateMetric<Metric> = (name: string, labelNames: string[]) => Metric;

/** Creates each metric of a kind at its first use. */
const createFamily = <Metric>(create: CreateMetric<Metric>) => {
  const metrics = new Map<string, BoundedMetric<Metric>>();
  return (name: string, tags: MetricTags): BoundedMetric<Metric> => {
    const known = metrics.get(name);
    if (known !== undefined) return known;
    const metric = create(metricName(name), Object.keys(tags));
    const created = { metric, labelsOf: createLabelBound() };
    metrics.set(name, created);
    return created;
  };
};

/** Creates the metrics of a process. */
export const createScrapedMetrics = (): ScrapedMetrics => {
  const registry = new Registry();
  const registers = [registry];
  const counters = createFamily(
    (name, labelNames) => new Counter({ name: `${name}_total`, help: name, labelNames, registers }),
  );
  const gauges = createFamily(
    (name, labelNames) => new Gauge({ name, help: name, labelNames, registers }),
  );
  const histograms = createFamily(
    (name, labelNames) =>
      new Histogram({
        name: `${name}_milliseconds`,
        help: name,
        labelNames,
        buckets: latencyMilliseconds,
        registers,
      }),
  );
  return {
    contentType: registry.contentType,
    text: () => registry.metrics(),
    count: (name, amount = 1, tags = {}) => {
      const { metric, labelsOf } = counters(name, tags);
      metric.inc(labelsOf(tags), amount);
    },
    gauge: (name, value, tags = {}) => {
      const { metric, labelsOf } = gauges(name, tags);
      metric.set(labelsOf(tags), value);
    },
    observe: (name, latency, tags = {}) => {
      const { metric, labelsOf } = histograms(name, tags);
      metric.observe(labelsOf(tags), latency);
    },
  };
};
