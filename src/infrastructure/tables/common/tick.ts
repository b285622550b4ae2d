/**
 * The tick: runs the ordered list of systems over the rows that changed or whose deadline expired.
 * A tick is triggered by input or by the earliest deadline. Systems can change rows that earlier
 * systems read, so a tick repeats the list until no system has unread changes; exceeding the
 * maximum number of rounds is reported as a cycle.
 */
import { err, ok, type Result } from 'neverthrow';
import { never, type Instant } from '../../../base/common/time.js';
import type { AnyTable } from './table.js';

/** A step of the tick that decides over tables; it must not do I/O or read a clock. */
export interface System {
  readonly name: string;
  readonly run: (now: Instant) => void;
}

/** A tick reached the maximum number of rounds, usually because two systems undo each other. */
export interface TickNotSettled {
  readonly kind: 'tickNotSettled';
  readonly message: string;
}

/** Runs ticks over a fixed list of systems and tables. */
export interface Ticker {
  readonly tick: (now: Instant) => Result<void, TickNotSettled>;
  /** The time of the next tick if there is no input: the earliest deadline of any table. */
  readonly nextDeadline: () => Instant;
}

const maximumRoundsPerTick = 64;

/** Creates a ticker that runs the systems in the given order. */
export const createTicker = (tables: readonly AnyTable[], systems: readonly System[]): Ticker => {
  const tablesWithDeadlines = tables.filter(({ hasDeadlines }) => hasDeadlines);
  const hasUnreadChanges = (): boolean => tables.some((table) => table.hasUnreadChanges());

  const tick = (now: Instant): Result<void, TickNotSettled> => {
    for (let round = 0; round < maximumRoundsPerTick; round += 1) {
      systems.forEach((system) => system.run(now));
      if (!hasUnreadChanges()) return ok(undefined);
    }
    const changingTables = tables.filter((table) => table.hasUnreadChanges());
    const names = changingTables.map((table) => table.name).join(', ');
    return err({
      kind: 'tickNotSettled',
      message:
        `The tables ${names} still have unread changes after ${maximumRoundsPerTick} rounds; ` +
        'look for two systems that repeatedly change the same column.',
    });
  };

  return {
    tick,
    nextDeadline: () =>
      tablesWithDeadlines.reduce(
        (earliest, table) => Math.min(earliest, table.earliestDeadline()),
        never,
      ),
  };
};
