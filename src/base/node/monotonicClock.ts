/**
 * The clocks of the process. Code that needs the time takes one of them as an argument.
 */
import { readFileSync } from 'node:fs';
import { Result } from 'neverthrow';
import {
  millisecondsPerSecond,
  type Clock,
  type Instant,
  type Milliseconds,
  type WallClock,
} from '../common/time.js';

/** The monotonic clock of this process, in milliseconds. */
export const monotonicClock: Clock = () => performance.now();

/** The wall clock of this VM, in milliseconds since the Unix epoch. */
export const wallClock: WallClock = () => Date.now();

/** Reads the time since the start of the VM; undefined where the system does not tell it. */
export type BootClock = () => Milliseconds | undefined;

const bootTimeFile = '/proc/uptime';

/** The file has hundredths of a second. */
const bootResolutionMilliseconds: Milliseconds = 10;

const readBootTimeFile = Result.fromThrowable(() => readFileSync(bootTimeFile, 'latin1'));

/** Reads the time since the start of this VM, with the time during which it was suspended. */
export const bootClock: BootClock = () =>
  readBootTimeFile()
    .map((text) => Number.parseFloat(text) * millisecondsPerSecond)
    .match(
      (milliseconds) => (Number.isFinite(milliseconds) ? milliseconds : undefined),
      () => undefined,
    );

/**
 * Time synchronization corrects the wall clock by less than this in normal operation, and readings of
 * the time since the start, in hundredths of a second, differ by less.
 */
const correctionToleranceMilliseconds: Milliseconds = 250;

/**
 * Interval at which the time since the start is read although the wall clock shows no suspension,
 * because it may have been set back meanwhile. A reading takes some 10 microseconds.
 */
const bootReadingIntervalMilliseconds: Milliseconds = 100;

/**
 * Creates a clock that includes the time during which the VM was suspended, when the monotonic
 * clock does not advance: if the time since the start of the VM advanced further than the monotonic
 * clock, the difference is added. The clock never goes backwards, and changes of the time of day do
 * not affect it. Where the system does not tell the time since the start, the wall clock takes its
 * place: setting it forward makes deadlines expire early, which is safe for leases.
 */
export const createSuspendAwareClock = (
  monotonic: Clock = monotonicClock,
  wall: WallClock = wallClock,
  boot: BootClock = bootClock,
): Clock => {
  const startBoot = boot();
  const startMonotonic = monotonic();
  let lastMonotonic = startMonotonic;
  let lastWall = wall();
  let lastBootReading = startMonotonic;
  let suspendedMilliseconds: Milliseconds = 0;

  /**
   * Returns the time of all suspensions so far by the time since the start, if it is known. It is
   * rounded up, because leases may end early but not late.
   */
  const computeSuspended = (nowMonotonic: Instant): Milliseconds | undefined => {
    const nowBoot = boot();
    if (startBoot === undefined || nowBoot === undefined) return undefined;
    return nowBoot + bootResolutionMilliseconds - startBoot - (nowMonotonic - startMonotonic);
  };

  const updateSuspended = (nowMonotonic: Instant, wallDifference: Milliseconds): void => {
    lastBootReading = nowMonotonic;
    const suspended = computeSuspended(nowMonotonic) ?? suspendedMilliseconds + wallDifference;
    if (suspended > suspendedMilliseconds + correctionToleranceMilliseconds)
      suspendedMilliseconds = suspended;
  };

  return () => {
    const nowMonotonic = monotonic();
    const nowWall = wall();
    const wallDifference = nowWall - lastWall - (nowMonotonic - lastMonotonic);
    const isReadingDue = nowMonotonic - lastBootReading >= bootReadingIntervalMilliseconds;
    if (isReadingDue || wallDifference > correctionToleranceMilliseconds)
      updateSuspended(nowMonotonic, wallDifference);
    lastMonotonic = nowMonotonic;
    lastWall = nowWall;
    return nowMonotonic + suspendedMilliseconds;
  };
};
