/**
 * Computes the columns of a registration that say how long its upstream is cold. Their values change
 * only if the upstream says something new, because each change is sent to all daemons.
 */
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import type { World } from '../../world/common/world.js';
import type { RegistrationRow } from './registryTables.js';

type ColdColumns = Pick<RegistrationRow, 'coldDeadline' | 'isColdReported' | 'firstHeardAt'>;

/**
 * Two reports of one cold time give deadlines that differ by their delays. A later deadline is taken
 * only if it is later by more than this; delays between regions are below it (80 ms).
 */
const laterToleranceMilliseconds: Milliseconds = 100;

/** An earlier deadline is taken if it is earlier by more than this; the kept one is the safe one. */
const earlierToleranceMilliseconds: Milliseconds = 1_000;

const computeColdDeadline = (remaining: Milliseconds, previous: Instant, now: Instant): Instant => {
  const isCold = previous > now;
  if (remaining === 0) return isCold ? Number.NEGATIVE_INFINITY : previous;
  const reported = deadlineAfter(now, remaining);
  const isSame =
    isCold &&
    reported <= previous + laterToleranceMilliseconds &&
    reported >= previous - earlierToleranceMilliseconds;
  return isSame ? previous : reported;
};

/**
 * Returns the columns for a report with the remaining cold time `remaining`, which is undefined if
 * the report does not say it. `existing` is the row of the same start.
 */
export const coldColumnsOf = (
  world: World,
  remaining: Milliseconds | undefined,
  existing: ColdColumns | undefined,
  now: Instant,
): ColdColumns => {
  const {
    coldDeadline = Number.NEGATIVE_INFINITY,
    isColdReported = false,
    firstHeardAt = now,
  } = existing ?? {};
  if (world.fleet.places.coldLimit === null || remaining === undefined)
    return { coldDeadline, isColdReported, firstHeardAt };
  return {
    coldDeadline: computeColdDeadline(remaining, coldDeadline, now),
    isColdReported: true,
    firstHeardAt,
  };
};
