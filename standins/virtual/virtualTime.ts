/**
 * Virtual time for simulations: scheduled actions run in the order of their instants. Actions with
 * equal instants run in the order in which they were scheduled.
 */
import { createHeap } from '../../src/base/common/heap.js';
import { never, type Instant, type Milliseconds } from '../../src/base/common/time.js';

/** A clock that advances only through `advanceTo`. */
export interface VirtualTime {
  readonly now: () => Instant;
  readonly schedule: (delay: Milliseconds, action: () => void) => void;
  readonly nextInstant: () => Instant;
  readonly advanceTo: (instant: Instant) => void;
  /** Runs one due action; returns false if no action is due. */
  readonly runDueAction: () => boolean;
}

/** Creates a clock whose current instant is 0. */
export const createVirtualTime = (): VirtualTime => {
  const heap = createHeap<{ readonly order: number; readonly action: () => void }>();
  let now: Instant = 0;
  let dueActions: { readonly order: number; readonly action: () => void }[] = [];
  let order = 0;

  const collectDueActions = (): void => {
    while ((heap.peek()?.priority ?? never) <= now) dueActions.push(heap.pop()!.value);
    dueActions = dueActions.sort((first, second) => first.order - second.order);
  };

  return {
    now: () => now,
    schedule: (delay, action) => {
      order += 1;
      heap.push(now + delay, { order, action });
    },
    nextInstant: () => (dueActions.length > 0 ? now : (heap.peek()?.priority ?? never)),
    advanceTo: (instant) => {
      now = Math.max(now, instant);
    },
    runDueAction: () => {
      collectDueActions();
      const next = dueActions.shift();
      next?.action();
      return next !== undefined;
    },
  };
};
