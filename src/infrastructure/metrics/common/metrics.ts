/**
 * Counters and gauges as the rest of the code sees them; where they go is decided by the port.
 */
export interface Metrics {
  /** Adds to a counter. */
  readonly count: (name: string, amount?: number, tags?: Readonly<Record<string, string>>) => void;
  /** Sets a gauge. */
  readonly gauge: (name: string, value: number, tags?: Readonly<Record<string, string>>) => void;
}

/** Metrics that go nowhere. */
export const silentMetrics: Metrics = { count: () => {}, gauge: () => {} };
