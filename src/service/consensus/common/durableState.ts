/**
 * Durable state of a voter: its term, its vote and its entries. Storage records writes in order,
 * and the state after a restart is the result of replaying them. Every storage implementation must
 * use this module for the replay.
 */
import * as z from 'zod';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { logEntrySchema, type LogEntry } from './logEntry.js';

/** Schema of one write to storage. */
export const storageWriteSchema = z.discriminatedUnion('kind', [
  /** Consecutive entries; they replace all existing entries from the index of the first one on. */
  z.object({ kind: z.literal('entries'), entries: z.array(logEntrySchema).min(1) }),
  /** The current term, and the candidate that this daemon has voted for in it. */
  z.object({
    kind: z.literal('vote'),
    term: z.number().int().nonnegative(),
    votedFor: z.string().nullable(),
  }),
  /** This daemon holds every entry that it has acknowledged, and can vote. */
  z.object({ kind: z.literal('joined') }),
]);
export type StorageWrite = z.infer<typeof storageWriteSchema>;

/** State that results from replaying the writes. */
export interface DurableState {
  readonly term: number;
  readonly votedFor: string | null;
  readonly hasJoined: boolean;
  readonly entries: readonly LogEntry[];
}

/** Builds the state from writes that are applied one by one. */
export interface Replay {
  readonly apply: (write: StorageWrite) => void;
  readonly state: () => DurableState;
}

/** Creates a replay that starts from the state of a daemon that has never run. */
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
