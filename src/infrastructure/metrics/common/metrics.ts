/**
 * The interface for counters, gauges and histograms. The implementation determines where they are
 * sent.
 */
import type { Milliseconds } from '../../../base/common/time.js';

export type MetricTags = Readonly<Record<string, string>>;

export interface Metrics {
  /** Adds to a counter. */
  readonly count: (name: string, amount?: number, tags?: MetricTags) => void;
  /** Sets a gauge. */
  readonly gauge: (name: string, value: number, tags?: MetricTags) => void;
  /** Adds a latency in milliseconds to a histogram. */
  readonly observe: (name: string, latency: Milliseconds, tags?: MetricTags) => void;
}

/** Metrics that are discarded. */
export const noopMetrics: Metrics = { count: () => {}, gauge: () => {}, observe: () => {} };
