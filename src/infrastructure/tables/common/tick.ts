/**
 * The tick: one run of the ordered list of systems over the rows that changed or fell due. A tick is
 * caused by input or by the earliest deadline. Systems may change rows that earlier systems read, so a
 * tick repeats the list until no reader has changes left, up to a bound that reports a cycle.
 */
import { err, ok, type Result } from 'neverthrow';
import { never, type Instant } from '../../../base/common/time.js';
import type { AnyTable } from './table.js';

/** A decision that runs over tables; it does no I/O and reads no clock. */
export interface System {
  readonly name: string;
  readonly run: (now: Instant) => void;
}

/** The systems did not settle: two of them change the same rows in turn. */
export interface TickNotSettled {
  readonly kind: 'tickNotSettled';
  readonly message: string;
}

/** Runs ticks over a fixed list of systems and tables. */
export interface Ticker {
  readonly tick: (now: Instant) => Result<void, TickNotSettled>;
  /** When the next tick is due without further input: the earliest deadline of any table. */
  readonly nextDeadline: () => Instant;
}

const maximumRoundsPerTick = 64;

/** Creates a ticker. The order of the systems is the order in which they run. */
export const createTicker = (tables: readonly AnyTable[], systems: readonly System[]): Ticker => {
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
        `The tables ${names} still change after ${maximumRoundsPerTick} rounds; ` +
        'look for two systems that change the same column in turn.',
    });
  };

  return {
    tick,
    nextDeadline: () =>
      tables.reduce((earliest, table) => Math.min(earliest, table.earliestDeadline()), never),
  };
};
