/**
 * The clocks of the process. Code that needs the time takes one of them as an argument.
 */
import { createEmitter, type Event } from '../common/emitter.js';
import type { Clock, ClockJump, Instant, Milliseconds, WallClock } from '../common/time.js';

/** The monotonic clock of this process, in milliseconds. */
export const monotonicClock: Clock = () => performance.now();

/** The wall clock of this VM, in milliseconds since the Unix epoch. */
export const wallClock: WallClock = () => Date.now();

/** Time synchronization corrects the wall clock by less than this in normal operation. */
const clockCorrectionToleranceMilliseconds: Milliseconds = 250;

/** A clock that includes the time during which the VM was suspended. */
export interface SuspendAwareClock {
  readonly clock: Clock;
  /** Fires while the clock is read, before the reading that includes the jump is returned. */
  readonly onDidJump: Event<ClockJump>;
}

/**
 * Creates a clock that includes the time during which the VM was suspended, when the monotonic
 * clock does not advance: if the wall clock advanced further than the monotonic clock, the
 * difference is added. The clock never goes backwards. Setting the wall clock forward makes
 * deadlines expire early, too, which is safe for leases and freshness. It is not for waits that
 * protect the lease of another process, which have to be extended when the clock jumps.
 * `/proc/uptime` would tell the two apart, but may show the time of the host: in a virtual VM it
 * advanced by 0.2 to 1.1 s for each second there.
 */
export const createSuspendAwareClock = (
  monotonic: Clock = monotonicClock,
  wall: WallClock = wallClock,
): SuspendAwareClock => {
  const jumps = createEmitter<ClockJump>();
  let lastMonotonic = monotonic();
  let lastWall = wall();
  let suspendedMilliseconds: Milliseconds = 0;
  const clock = (): Instant => {
    const nowMonotonic = monotonic();
    const nowWall = wall();
    const difference = nowWall - lastWall - (nowMonotonic - lastMonotonic);
    lastMonotonic = nowMonotonic;
    lastWall = nowWall;
    const from = nowMonotonic + suspendedMilliseconds;
    if (difference <= clockCorrectionToleranceMilliseconds) return from;
    suspendedMilliseconds += difference;
    const to = from + difference;
    jumps.fire({ from, to });
    return to;
  };
  return { clock, onDidJump: jumps.event };
};
