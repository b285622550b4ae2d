/**
 * Runs ticks in the event loop of a process. Between ticks the process is idle: a timer is set for
 * the earliest deadline, and all input of one event loop iteration is handled in one tick.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import { createDisposable } from '../../../base/common/disposable.js';
import { never, type Clock, type Milliseconds } from '../../../base/common/time.js';
import type { Ticker, TickNotSettled } from '../common/tick.js';

/** Runs the ticks of a ticker until disposed of. */
export interface TickDriver extends Disposable {
  /** Schedules a tick in the current event loop iteration; cheap enough to call for every input. */
  readonly wake: () => void;
  /**
   * Schedules a tick within `wakeSoonMilliseconds`, for input that is frequent and on which nothing
   * waits: all of it until then is handled in one tick.
   */
  readonly wakeSoon: () => void;
  /** The number of ticks that have run. */
  readonly ticks: () => number;
}

const maximumTimerMilliseconds = 60_000;

/** Longest delay of input that does not wake at once. */
export const wakeSoonMilliseconds: Milliseconds = 20;

/** Creates a driver. `onDidTick` lets ports read after each tick; `onDidFail` reports a cycle. */
export const createTickDriver = (
  ticker: Ticker,
  clock: Clock,
  onDidTick: () => void,
  onDidFail: (error: TickNotSettled) => void,
): TickDriver => {
  let tickCount = 0;
  let immediate: NodeJS.Immediate | undefined;
  let timer: NodeJS.Timeout | undefined;
  let soonTimer: NodeJS.Timeout | undefined;
  let disposed = false;

  const runTick = (): void => {
    immediate = undefined;
    clearTimeout(soonTimer);
    soonTimer = undefined;
    if (disposed) return;
    tickCount += 1;
    ticker.tick(clock()).mapErr(onDidFail);
    onDidTick();
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two functions call each other
    sleepUntilDeadline();
  };

  const wake = (): void => {
    if (disposed || immediate !== undefined) return;
    immediate = setImmediate(runTick);
  };

  const wakeSoon = (): void => {
    if (disposed || immediate !== undefined) return;
    soonTimer ??= setTimeout(wake, wakeSoonMilliseconds);
  };

  const sleepUntilDeadline = (): void => {
    clearTimeout(timer);
    const deadline = ticker.nextDeadline();
    if (deadline === never) return;
    const delay = Math.min(maximumTimerMilliseconds, Math.max(0, Math.ceil(deadline - clock())));
    timer = setTimeout(wake, delay);
  };

  const { dispose } = createDisposable(() => {
    disposed = true;
    clearTimeout(timer);
    clearTimeout(soonTimer);
    clearImmediate(immediate);
  });

  wake();
  return { wake, wakeSoon, ticks: () => tickCount, dispose };
};
