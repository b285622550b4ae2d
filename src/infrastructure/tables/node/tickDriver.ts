/**
 * Runs ticks in the event loop of a process. Between ticks the process sleeps: a timer is set for the
 * earliest deadline, and input of one turn of the event loop is coalesced into one tick.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import { createDisposable } from '../../../base/common/disposable.js';
import { never, type Clock } from '../../../base/common/time.js';
import type { Ticker, TickNotSettled } from '../common/tick.js';

/** Drives a ticker until it is disposed of. */
export interface TickDriver extends Disposable {
  /** Asks for a tick in this turn of the event loop; cheap to call for every input. */
  readonly wake: () => void;
  /** How many ticks have run. */
  readonly ticks: () => number;
}

const maximumTimerMilliseconds = 60_000;

/** Creates a driver. `onDidTick` lets ports read after a tick; `onDidFail` is told of a cycle. */
export const createTickDriver = (
  ticker: Ticker,
  clock: Clock,
  onDidTick: () => void,
  onDidFail: (error: TickNotSettled) => void,
): TickDriver => {
  let tickCount = 0;
  let immediate: NodeJS.Immediate | undefined;
  let timer: NodeJS.Timeout | undefined;
  let disposed = false;

  const runTick = (): void => {
    immediate = undefined;
    if (disposed) return;
    tickCount += 1;
    ticker.tick(clock()).mapErr(onDidFail);
    onDidTick();
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two call each other
    sleepUntilDeadline();
  };

  const wake = (): void => {
    if (disposed || immediate !== undefined) return;
    immediate = setImmediate(runTick);
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
    clearImmediate(immediate);
  });

  wake();
  return { wake, ticks: () => tickCount, dispose };
};
