/**
 * Snapshots of the replicated state. A snapshot stands for all log entries up to its index: it holds
 * the replicated rows that result from them, and what the log itself must remember of them. A daemon
 * that lacks those entries installs the snapshot instead, so that joining and restarting take as long
 * as the state is large, not as the log is old.
 */
import * as z from 'zod';
import { Topic } from './command.js';

/** Rows of one replicated table; small enough for one message. */
export const snapshotPartSchema = z.object({
  /** Name of the table in the world. */
  table: z.string(),
  /** Its rows; the module `replicatedState` checks them. */
  rows: z.array(z.unknown()),
});
export type SnapshotPart = z.infer<typeof snapshotPartSchema>;

/** What a snapshot says of the log entries that it stands for. */
export const snapshotHeaderSchema = z.object({
  /** Index of the last entry that it stands for. */
  index: z.number().int().positive(),
  /** Term of that entry. */
  term: z.number().int().nonnegative(),
  /** Index of the `votersSet` entry that defines its voters; 0 for the initial voters. */
  votersIndex: z.number().int().nonnegative(),
  /** Names of the voters as of its index; empty if `votersIndex` is 0. */
  voters: z.array(z.string()),
  /** Leader of its term; null if the log does not name it. */
  leader: z.string().nullable(),
});
export type SnapshotHeader = z.infer<typeof snapshotHeaderSchema>;

/** A complete snapshot. */
export interface Snapshot {
  readonly header: SnapshotHeader;
  /** Parts in the order in which they are restored. A table without rows has none. */
  readonly parts: readonly SnapshotPart[];
}

/** The topics whose rows a receiver of entries holds: those of all entries, or of configuration. */
export const topicsOf = (isRelay: boolean): readonly Topic[] =>
  isRelay ? Object.values(Topic) : [Topic.Configuration];
