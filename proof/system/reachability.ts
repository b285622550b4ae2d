/**
 * Tracks from when to when each daemon ran, was not frozen and could reach the others, so that invariants
 * can tell where a bound of seconds holds.
 */
import type { Instant } from '../../src/base/common/time.js';
import type { Reachability } from './recording.js';

/** The intervals of all daemons. */
export interface ReachabilityTracker {
  readonly begin: (daemon: string, at: Instant) => void;
  readonly end: (daemon: string, at: Instant) => void;
  /** All intervals; those that last are closed at `now`. */
  readonly intervals: (now: Instant) => readonly Reachability[];
}

/** Creates a tracker without intervals. */
export const createReachabilityTracker = (): ReachabilityTracker => {
  const begun = new Map<string, Instant>();
  const closed: Reachability[] = [];
  return {
    begin: (daemon, at) => {
      if (!begun.has(daemon)) begun.set(daemon, at);
    },
    end: (daemon, at) => {
      const from = begun.get(daemon);
      if (from === undefined) return;
      begun.delete(daemon);
      closed.push({ daemon, from, until: at });
    },
    intervals: (now) => [
      ...closed,
      ...Array.from(begun, ([daemon, from]) => ({ daemon, from, until: now })),
    ],
  };
};
