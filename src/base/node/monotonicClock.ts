/**
 * The clocks of the running process. Everything above takes them as arguments.
 */
import type { Clock, Milliseconds, WallClock } from '../common/time.js';

/** The monotonic clock of this process, in milliseconds. */
export const monotonicClock: Clock = () => performance.now();

/** The wall clock of this VM, in milliseconds since the Unix epoch. */
export const wallClock: WallClock = () => Date.now();

/** The wall clock is corrected by less than this in ordinary operation. */
const clockCorrectionToleranceMilliseconds: Milliseconds = 250;

/**
 * A clock that also counts the time for which the VM was suspended, in which the monotonic clock stands
 * still: where the wall clock has moved on by more, the difference is added. It never goes backwards. A
 * wall clock that is set forward makes deadlines pass early, which is safe for leases.
 */
export const createSuspendAwareClock = (
  monotonic: Clock = monotonicClock,
  wall: WallClock = wallClock,
): Clock => {
  let lastMonotonic = monotonic();
  let lastWall = wall();
  let suspendedMilliseconds: Milliseconds = 0;
  return () => {
    const nowMonotonic = monotonic();
    const nowWall = wall();
    const difference = nowWall - lastWall - (nowMonotonic - lastMonotonic);
    if (difference > clockCorrectionToleranceMilliseconds) suspendedMilliseconds += difference;
    lastMonotonic = nowMonotonic;
    lastWall = nowWall;
    return nowMonotonic + suspendedMilliseconds;
  };
};
