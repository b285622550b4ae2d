/**
 * Time as the tables see it: milliseconds of a monotonic clock that starts anew with each process.
 * Rows store points in time and deadlines, never durations. Remaining times exist only in messages
 * between processes and are turned into deadlines on receipt.
 */

/** A point on the monotonic clock of this process, in milliseconds. */
export type Instant = number;

/** A duration in milliseconds; used in settings and messages, never in rows. */
export type Milliseconds = number;

/** Reads the monotonic clock of this process. */
export type Clock = () => Instant;

/** Reads the wall clock, in milliseconds since the Unix epoch; for display and event stamps only. */
export type WallClock = () => number;

/** A deadline that never passes. */
export const never: Instant = Number.POSITIVE_INFINITY;

export const millisecondsPerSecond = 1000;

/** The deadline that lies `duration` after `now`. */
export const deadlineAfter = (now: Instant, duration: Milliseconds): Instant => now + duration;

/** The time left until a deadline, never negative; the form in which deadlines travel. */
export const remainingUntil = (deadline: Instant, now: Instant): Milliseconds =>
  Math.max(0, deadline - now);
