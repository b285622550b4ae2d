/**
 * Access to the replica of this daemon: reads and changes its row and its log entries, and requests
 * the storage writes that belong to each change.
 */
import { asBrand } from '../../../base/common/brand.js';
import { computeEncodedBytes } from '../../../base/common/encodedSize.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import type { Message } from '../../messages/common/message.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import {
  minimumElectionTimeoutMilliseconds,
  electionTimeoutJitterMilliseconds,
} from './consensusTiming.js';
import type { StorageWrite } from './durableState.js';
import type { LogEntry } from './logEntry.js';
import { entryIdOf, replicaId, type LogEntryRow, type ReplicaRow } from './replicaTables.js';
import { snapshotId, type SnapshotRow } from './snapshotTables.js';

/** Returns the row of the replica, which is inserted before the first tick. */
export const replicaOf = (world: World): ReplicaRow => world.replica.get(replicaId)!;

/** Whether this daemon stores entries of every topic, in order to vote on them or to relay them. */
export const hasFullLog = (world: World): boolean => world.self.roles.includes(Role.Control);

/** Changes columns of the replica and returns the new row. */
export const changeReplica = (world: World, columns: Partial<Omit<ReplicaRow, 'id'>>): ReplicaRow =>
  world.replica.change(replicaId, columns)!;

/** Returns a randomized time at which this daemon requests votes unless a leader contacts it. */
export const nextElectionDeadline = (world: World, now: Instant): Instant =>
  deadlineAfter(
    now,
    minimumElectionTimeoutMilliseconds +
      world.random.nextInteger(electionTimeoutJitterMilliseconds),
  );

/** Returns the newest snapshot of this daemon, or undefined if it has none. */
export const snapshotOf = (world: World): SnapshotRow | undefined =>
  world.snapshots.get(snapshotId);

/**
 * Returns the term of the entry at an index: 0 for index 0, undefined if there is no entry and no
 * snapshot that ends with it.
 */
export const termAt = (world: World, index: number): number | undefined => {
  if (index === 0) return 0;
  const entry = world.logEntries.get(entryIdOf(index));
  if (entry !== undefined) return entry.term;
  const header = snapshotOf(world)?.header;
  return header?.index === index ? header.term : undefined;
};

/** Whether the log still has the entries after an index, and the term of the one at it. */
export const canContinueFrom = (world: World, index: number): boolean =>
  index >= replicaOf(world).compactedIndex && termAt(world, index) !== undefined;

/** Inserts an entry into the log of this daemon, or replaces the one at its index. */
export const putEntry = (world: World, entry: LogEntry): LogEntryRow =>
  world.logEntries.put({
    ...entry,
    id: entryIdOf(entry.index),
    encodedBytes: computeEncodedBytes(entry),
  });

/** Returns the entry of a row, as it is stored and sent. */
export const toLogEntry = ({ index, term, proposal, origin, command }: LogEntryRow): LogEntry => ({
  index,
  term,
  proposal,
  origin,
  command,
});

/** Requests a write from storage. Messages that depend on it must use `sendAfterSync`. */
export const requestWrite = (world: World, write: StorageWrite): void => {
  const sequence = replicaOf(world).requestedSequence + 1;
  const firstIndex = write.kind === 'entries' ? write.entries[0]!.index : null;
  world.storageRequests.append({ sequence, write });
  world.pendingWrites.put({ id: asBrand(String(sequence)), sequence, firstIndex });
  const isOptional = write.kind === 'stateReplaced' && write.isOptional;
  changeReplica(world, {
    requestedSequence: sequence,
    ...(isOptional ? {} : { requiredSequence: sequence }),
  });
};

/** Whether every requested write that is not optional is synced. */
export const isSynced = (world: World): boolean => {
  const { requiredSequence, syncedSequence } = replicaOf(world);
  return requiredSequence <= syncedSequence;
};

/** Returns the index up to which all entries are synced on this daemon. */
export const syncedIndexOf = (world: World): number =>
  [...world.pendingWrites.rows()].reduce(
    (index, write) => (write.firstIndex === null ? index : Math.min(index, write.firstIndex - 1)),
    replicaOf(world).lastIndex,
  );

/** Sends a message after all writes requested so far that are not optional are synced. */
export const sendAfterSync = (world: World, to: DaemonId, message: Message): void => {
  if (isSynced(world)) {
    world.outgoingMessages.append({ to, message });
    return;
  }
  const id = world.identifiers.next<Parameters<typeof world.heldMessages.get>[0]>('held');
  world.heldMessages.put({ id, sequence: replicaOf(world).requiredSequence, to, message });
};

/** Removes the entries after an index. */
export const truncateLog = (world: World, index: number): void => {
  const { compactedIndex, lastIndex } = replicaOf(world);
  for (let removed = lastIndex; removed > Math.max(index, compactedIndex); removed -= 1) {
    world.logEntries.remove(entryIdOf(removed));
  }
};

/** Removes the entries up to an index, for which a snapshot stands. */
export const removeEntries = (world: World, index: number): void => {
  const { compactedIndex } = replicaOf(world);
  for (let removed = compactedIndex + 1; removed <= index; removed += 1) {
    world.logEntries.remove(entryIdOf(removed));
  }
  changeReplica(world, { compactedIndex: Math.max(compactedIndex, index) });
};

/** Stores entries that extend the log or replace its end, and requests their write. */
export const storeEntries = (world: World, entries: readonly LogEntry[]): void => {
  const [first] = entries;
  if (first === undefined) return;
  truncateLog(world, first.index - 1);
  entries.forEach((entry) => putEntry(world, entry));
  const last = entries.at(-1)!;
  changeReplica(world, { lastIndex: last.index, lastTerm: last.term });
  requestWrite(world, { kind: 'entries', entries: [...entries] });
};

/** Appends one entry of the current term to the log and returns its index. */
export const appendEntry = (
  world: World,
  entry: Pick<LogEntry, 'proposal' | 'origin' | 'command'>,
): number => {
  const { lastIndex, term } = replicaOf(world);
  storeEntries(world, [{ ...entry, index: lastIndex + 1, term }]);
  return lastIndex + 1;
};

/** Sets the current term and the vote of this daemon in it; null if it has not voted. */
export const setTerm = (world: World, term: number, votedFor: DaemonId | null): void => {
  changeReplica(world, { term, votedFor });
  requestWrite(world, { kind: 'vote', term, votedFor });
};

/** Columns of a replica that is not the leader. */
export const nonLeaderColumns = {
  leaseDeadline: Number.NEGATIVE_INFINITY,
  orderDeadline: never,
  leadershipIndex: 0,
} as const;

/** Returns the entry of a proposal, or undefined if it is not in the log. */
export const entryOfProposal = (world: World, proposal: string): LogEntryRow | undefined =>
  world.logEntries.where('proposal', proposal)[0];
