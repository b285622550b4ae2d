/**
 * What a voter must not forget: its term, its vote and its entries. Writes are requests in order, and the
 * state after a restart is what their replay gives; every kind of storage replays by this module.
 */
import { z } from 'zod';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { logEntrySchema, type LogEntry } from './logEntry.js';

/** One write. */
export const storageWriteSchema = z.discriminatedUnion('kind', [
  /** Entries that follow each other; they replace what stood at the index of the first and after it. */
  z.object({ kind: z.literal('entries'), entries: z.array(logEntrySchema).min(1) }),
  /** The present term, and whom this daemon has voted for in it. */
  z.object({
    kind: z.literal('vote'),
    term: z.number().int().nonnegative(),
    votedFor: z.string().nullable(),
  }),
  /** This daemon holds all that it has ever acknowledged, and may vote. */
  z.object({ kind: z.literal('joined') }),
]);
export type StorageWrite = z.infer<typeof storageWriteSchema>;

/** What the writes amount to. */
export interface DurableState {
  readonly term: number;
  readonly votedFor: string | null;
  readonly hasJoined: boolean;
  readonly entries: readonly LogEntry[];
}

/** Builds the state by one write after the other. */
export interface Replay {
  readonly apply: (write: StorageWrite) => void;
  readonly state: () => DurableState;
}

/** Begins with the state of a daemon that has never run. */
export const createReplay = (): Replay => {
  let term = 0;
  let votedFor: string | null = null;
  let hasJoined = false;
  const entries: LogEntry[] = [];

  const handlers: HandlerTable<StorageWrite, void> = {
    entries: (write) => {
      entries.length = Math.min(entries.length, write.entries[0]!.index - 1);
      entries.push(...write.entries);
    },
    vote: (write) => {
      ({ term, votedFor } = write);
    },
    joined: () => {
      hasJoined = true;
    },
  };

  return {
    apply: (write) => dispatchByKind(handlers, write),
    state: () => ({ term, votedFor, hasJoined, entries }),
  };
};
