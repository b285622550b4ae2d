/**
 * Time in tables: milliseconds of a monotonic clock that is specific to the process. Rows store
 * points in time and deadlines, never durations. Messages between processes carry remaining times,
 * which the receiver converts to deadlines.
 */

/** A point on the monotonic clock of this process, in milliseconds. */
export type Instant = number;

/** A duration in milliseconds; used in settings and messages, never in rows. */
export type Milliseconds = number;

/** Reads the monotonic clock of this process. */
export type Clock = () => Instant;

/** Reads the wall clock in milliseconds since the Unix epoch; only for display and event stamps. */
export type WallClock = () => number;

/** A jump of a clock: what it would have read without the jump, and what it read. */
export interface ClockJump {
  readonly from: Instant;
  readonly to: Instant;
}

/** A deadline that never expires. */
export const never: Instant = Number.POSITIVE_INFINITY;

export const millisecondsPerSecond = 1000;

/** Returns the deadline `duration` milliseconds after `now`. */
export const deadlineAfter = (now: Instant, duration: Milliseconds): Instant => now + duration;

/** Returns the time until a deadline, at least 0; messages carry deadlines in this form. */
export const remainingUntil = (deadline: Instant, now: Instant): Milliseconds =>
  Math.max(0, deadline - now);
