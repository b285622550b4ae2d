/**
 * Counters, gauges and histograms as the rest of the code sees them; where they go is decided by the port.
 */
import type { Milliseconds } from '../../../base/common/time.js';

export type MetricTags = Readonly<Record<string, string>>;

export interface Metrics {
  /** Adds to a counter. */
  readonly count: (name: string, amount?: number, tags?: MetricTags) => void;
  /** Sets a gauge. */
  readonly gauge: (name: string, value: number, tags?: MetricTags) => void;
  /** Adds a latency to a histogram. */
  readonly observe: (name: string, latency: Milliseconds, tags?: MetricTags) => void;
}

/** Metrics that go nowhere. */
export const noopMetrics: Metrics = { count: () => {}, gauge: () => {}, observe: () => {} };
