/**
 * Tracks the intervals in which each daemon ran, was not frozen and could reach the others. Invariants
 * with a propagation bound apply only within these intervals.
 */
import type { Instant } from '../../src/base/common/time.js';
import type { ReachableInterval } from './recording.js';

/** Records the reachable intervals of all daemons. */
export interface ReachabilityTracker {
  readonly start: (daemon: string, at: Instant) => void;
  readonly end: (daemon: string, at: Instant) => void;
  /** Returns all intervals; open ones end at `now`. */
  readonly intervals: (now: Instant) => readonly ReachableInterval[];
}

/** Creates a tracker in which no daemon is reachable. */
export const createReachabilityTracker = (): ReachabilityTracker => {
  const reachableSince = new Map<string, Instant>();
  const closedIntervals: ReachableInterval[] = [];
  return {
    start: (daemon, at) => {
      if (!reachableSince.has(daemon)) reachableSince.set(daemon, at);
    },
    end: (daemon, at) => {
      const from = reachableSince.get(daemon);
      if (from === undefined) return;
      reachableSince.delete(daemon);
      closedIntervals.push({ daemon, from, until: at });
    },
    intervals: (now) => [
      ...closedIntervals,
      ...Array.from(reachableSince, ([daemon, from]) => ({ daemon, from, until: now })),
    ],
  };
};
