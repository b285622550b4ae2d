/**
 * Durable state of a voter: its term, its vote, its snapshot and its entries. Storage keeps records in
 * order, and the state after a restart is the result of replaying them. Every storage implementation
 * must use this module for the replay, and for dividing a complete state into records.
 */
import * as z from 'zod';
import { computeEncodedBytes } from '../../../base/common/encodedSize.js';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { maximumBatchBytes, takeBatch } from '../../../infrastructure/wire/common/frameLimits.js';
import { maximumEntriesPerMessage } from './consensusTiming.js';
import { logEntrySchema, type LogEntry } from './logEntry.js';
import {
  snapshotHeaderSchema,
  snapshotPartSchema,
  type Snapshot,
  type SnapshotHeader,
  type SnapshotPart,
} from './snapshot.js';

/** Schema of one record on disk. */
export const storageRecordSchema = z.discriminatedUnion('kind', [
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
  /** Starts a snapshot; it discards all that earlier records describe. */
  z.object({ kind: z.literal('snapshotStarted'), header: snapshotHeaderSchema }),
  /** The next part of the snapshot. */
  z.object({ kind: z.literal('snapshotPart'), part: snapshotPartSchema }),
]);
export type StorageRecord = z.infer<typeof storageRecordSchema>;

/** State that results from replaying the records. */
export interface DurableState {
  readonly term: number;
  readonly votedFor: string | null;
  readonly hasJoined: boolean;
  /** What stands for the entries before the first one; null if none were discarded. */
  readonly snapshot: Snapshot | null;
  /** Entries after the snapshot. */
  readonly entries: readonly LogEntry[];
}

/** One write to storage: a record to append, or the complete state that replaces all records. */
export type StorageWrite =
  | Exclude<StorageRecord, { readonly kind: 'snapshotStarted' | 'snapshotPart' }>
  | {
      readonly kind: 'stateReplaced';
      readonly state: DurableState;
      /**
       * Whether the records that exist already result in the same state, so that the write only
       * frees space: it counts as synced although it failed.
       */
      readonly isOptional: boolean;
    };

/** Builds the state from records that are applied one by one. */
export interface Replay {
  readonly apply: (record: StorageRecord) => void;
  readonly state: () => DurableState;
}

/**
 * Divides a complete state into the records that result in it. A batch of entries is as large as one
 * message.
 */
export function* createRecords(state: DurableState): Generator<StorageRecord, void, undefined> {
  const { snapshot, term, votedFor, hasJoined, entries } = state;
  if (snapshot !== null) {
    yield { kind: 'snapshotStarted', header: snapshot.header };
    for (const part of snapshot.parts) yield { kind: 'snapshotPart', part };
  }
  yield { kind: 'vote', term, votedFor };
  if (hasJoined) yield { kind: 'joined' };
  let position = 0;
  while (position < entries.length) {
    // Measured batch by batch: storage writes records as they are yielded, and ticks run in between.
    const next = entries.slice(position, position + maximumEntriesPerMessage);
    const { rows } = takeBatch(next, computeEncodedBytes, {
      maximumRows: maximumEntriesPerMessage,
      maximumBytes: maximumBatchBytes,
    });
    yield { kind: 'entries', entries: [...rows] };
    position += rows.length;
  }
}

/** Creates a replay that starts from the state of a daemon that has never run. */
export const createReplay = (): Replay => {
  let term = 0;
  let votedFor: string | null = null;
  let hasJoined = false;
  let header: SnapshotHeader | null = null;
  let parts: SnapshotPart[] = [];
  let entries: LogEntry[] = [];

  const handlers: HandlerTable<StorageRecord, void> = {
    entries: (record) => {
      const position = record.entries[0]!.index - 1 - (header?.index ?? 0);
      entries.length = Math.min(entries.length, position);
      entries.push(...record.entries);
    },
    vote: (record) => {
      ({ term, votedFor } = record);
    },
    joined: () => {
      hasJoined = true;
    },
    snapshotStarted: (record) => {
      term = 0;
      votedFor = null;
      hasJoined = false;
      header = record.header;
      parts = [];
      entries = [];
    },
    snapshotPart: ({ part }) => {
      parts.push(part);
    },
  };

  return {
    apply: (record) => dispatchByKind(handlers, record),
    state: () => ({
      term,
      votedFor,
      hasJoined,
      snapshot: header === null ? null : { header, parts },
      entries,
    }),
  };
};
