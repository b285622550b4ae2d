/**
 * Tracks from when to when each daemon ran, was not frozen and could reach the others, so that invariants
 * can tell where a bound of seconds holds.
 */
import type { Instant } from '../../src/base/common/time.js';
import type { ReachableInterval } from './recording.js';

/** The intervals of all daemons. */
export interface ReachabilityTracker {
  readonly start: (daemon: string, at: Instant) => void;
  readonly end: (daemon: string, at: Instant) => void;
  /** All intervals; those that last are closed at `now`. */
  readonly intervals: (now: Instant) => readonly ReachableInterval[];
}

/** Creates a tracker without intervals. */
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
