/**
 * The budget of a cold upstream: how many permits the leader may grant at a moment, from the times
 * at which it granted earlier ones. A permit allows one request and is used within its lifetime
 * after it was granted, so requests that are sent within one second rest on permits that were
 * granted within one second plus that lifetime. No second sees more requests than that window
 * allows, whichever daemons freeze, restart or are partitioned.
 */
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';

/** Period for which the tolerated rate is stated. */
const ratePeriodMilliseconds: Milliseconds = 1_000;

/**
 * Lifetime of a permit, from its request by the clock of the daemon that requested it. Covers a
 * round trip between regions (160 ms) and leaves time to use the permit.
 */
export const permitLifetimeMilliseconds: Milliseconds = 400;

/** Window in which the budget counts permits: any second of requests rests on it. */
export const budgetWindowMilliseconds: Milliseconds =
  ratePeriodMilliseconds + permitLifetimeMilliseconds;

/** What a cold upstream takes: the declared rate of its service and the limit of the settings. */
export interface ColdLimits {
  /** Requests a second that it tolerates. */
  readonly requestsPerSecond: number;
  /** Multiple of that rate that must not be exceeded in any second. */
  readonly factor: number;
  /** Number of requests in addition. */
  readonly slack: number;
}

/** Returns the number of requests that one second may see. */
export const computeRequestLimit = ({ requestsPerSecond, factor, slack }: ColdLimits): number =>
  Math.floor(requestsPerSecond * factor + slack);

/**
 * Returns the number of permits of one window: no more than a second may see, and no more than the
 * tolerated rate for the whole window.
 */
export const computeBudget = (limits: ColdLimits): number =>
  Math.min(
    computeRequestLimit(limits),
    Math.ceil((limits.requestsPerSecond * budgetWindowMilliseconds) / ratePeriodMilliseconds),
  );

/** Returns the grants that still count at `now`; each instant stands for one permit. */
export const listCountedGrants = (grants: readonly Instant[], now: Instant): readonly Instant[] =>
  grants.filter((grantedAt) => grantedAt > now - budgetWindowMilliseconds);

/** Returns the number of permits that may be granted at `now` after these grants. */
export const countGrantablePermits = (
  limits: ColdLimits,
  grants: readonly Instant[],
  now: Instant,
): number => Math.max(0, computeBudget(limits) - listCountedGrants(grants, now).length);

/**
 * Returns the earliest time from which a further permit may be granted, if none is granted until
 * then. `grants` are in the order of time. A budget of no permits is looked at once in a window,
 * because a new declaration can change it.
 */
export const computeRoomInstant = (
  limits: ColdLimits,
  grants: readonly Instant[],
  now: Instant,
): Instant => {
  const counted = listCountedGrants(grants, now);
  const budget = computeBudget(limits);
  if (counted.length < budget) return now;
  return deadlineAfter(counted[counted.length - budget] ?? now, budgetWindowMilliseconds);
};

/**
 * Refused daemons that may ask again for each permit of the budget. With fewer, an upstream can stay
 * idle, because some have no request left when their time comes; each one costs two messages.
 */
const askersPerPermit = 4;

/** Refused daemons are given different times within this many windows, then the first one again. */
const refusalWindows = 10;

/**
 * Returns the time at which a refused daemon may ask again: when there is room, and a part of the
 * interval between permits after the daemon that was refused before it. So the number of messages
 * does not grow with the number of daemons. `lastInstant` is what the one before was given.
 */
export const computeRetryInstant = (
  limits: ColdLimits,
  roomInstant: Instant,
  lastInstant: Instant,
  now: Instant,
): Instant => {
  const permits = Math.max(1, computeBudget(limits));
  const next = lastInstant + budgetWindowMilliseconds / (permits * askersPerPermit);
  const isWithinRefusalWindows = next < now + refusalWindows * budgetWindowMilliseconds;
  return isWithinRefusalWindows ? Math.max(roomInstant, next) : roomInstant;
};
