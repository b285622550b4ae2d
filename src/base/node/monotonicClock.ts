/**
 * The clocks of the running process. Everything above takes them as arguments.
 */
import type { Clock, WallClock } from '../common/time.js';

/** The monotonic clock of this process, in milliseconds. */
export const monotonicClock: Clock = () => performance.now();

/** The wall clock of this VM, in milliseconds since the Unix epoch. */
export const wallClock: WallClock = () => Date.now();
