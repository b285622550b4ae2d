/**
 * The replica of this daemon: reading and changing its row and its entries, and asking storage for the
 * writes that belong to a change.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { Message } from '../../messages/common/message.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { electionMinimumMilliseconds, electionSpreadMilliseconds } from './consensusTiming.js';
import type { StorageWrite } from './durableState.js';
import type { LogEntry } from './logEntry.js';
import { entryIdOf, replicaId, type LogEntryRow, type ReplicaRow } from './replicaTables.js';

/** The row of the replica, which exists from the start. */
export const replicaOf = (world: World): ReplicaRow => world.replica.get(replicaId)!;

/** Changes columns of the replica. */
export const changeReplica = (world: World, columns: Partial<Omit<ReplicaRow, 'id'>>): ReplicaRow =>
  world.replica.change(replicaId, columns)!;

/** When this daemon asks for votes unless it hears of a leader; another time on each daemon. */
export const electionDeadlineAfter = (world: World, now: Instant): Instant =>
  deadlineAfter(
    now,
    electionMinimumMilliseconds + world.random.nextInteger(electionSpreadMilliseconds),
  );

/** The term of an entry: 0 before the first, undefined where there is none. */
export const termAt = (world: World, index: number): number | undefined =>
  index === 0 ? 0 : world.logEntries.get(entryIdOf(index))?.term;

/** Entries from `first` to `last`, both included, as far as they are there. */
export const entriesBetween = (world: World, first: number, last: number): LogEntry[] => {
  const entries: LogEntry[] = [];
  for (let index = first; index <= last; index += 1) {
    const row = world.logEntries.get(entryIdOf(index));
    if (row === undefined) break;
    const { term, proposal, origin, command } = row;
    entries.push({ index, term, proposal, origin, command });
  }
  return entries;
};

/** Asks storage for a write; what rests on it is sent with `sendOnceSynced`. */
export const requestWrite = (world: World, write: StorageWrite): void => {
  const sequence = replicaOf(world).requestedSequence + 1;
  const firstIndex = write.kind === 'entries' ? write.entries[0]!.index : null;
  world.storageRequests.append({ sequence, write });
  world.pendingWrites.put({ id: asBrand(String(sequence)), sequence, firstIndex });
  changeReplica(world, { requestedSequence: sequence });
};

/** Whether every write that was asked for is synced. */
export const isSynced = (world: World): boolean => {
  const { requestedSequence, syncedSequence } = replicaOf(world);
  return requestedSequence === syncedSequence;
};

/** The last entry up to which all entries are synced here. */
export const syncedIndexOf = (world: World): number =>
  [...world.pendingWrites.rows()].reduce(
    (index, write) => (write.firstIndex === null ? index : Math.min(index, write.firstIndex - 1)),
    replicaOf(world).lastIndex,
  );

/** Sends a message once all writes that were asked for so far are synced. */
export const sendOnceSynced = (world: World, to: DaemonId, message: Message): void => {
  if (isSynced(world)) {
    world.outgoingMessages.append({ to, message });
    return;
  }
  const id = world.identifiers.next<Parameters<typeof world.heldMessages.get>[0]>('held');
  world.heldMessages.put({ id, sequence: replicaOf(world).requestedSequence, to, message });
};

/** Takes entries that follow the log, or replace its end, and asks storage to write them. */
export const storeEntries = (world: World, entries: readonly LogEntry[]): void => {
  const [first] = entries;
  if (first === undefined) return;
  const { lastIndex } = replicaOf(world);
  for (let index = lastIndex; index >= first.index; index -= 1) {
    world.logEntries.remove(entryIdOf(index));
  }
  entries.forEach((entry) => world.logEntries.put({ ...entry, id: entryIdOf(entry.index) }));
  const last = entries.at(-1)!;
  changeReplica(world, { lastIndex: last.index, lastTerm: last.term });
  requestWrite(world, { kind: 'entries', entries: [...entries] });
};

/** Puts one entry of the present term at the end of the log. */
export const appendEntry = (
  world: World,
  entry: Pick<LogEntry, 'proposal' | 'origin' | 'command'>,
): number => {
  const { lastIndex, term } = replicaOf(world);
  storeEntries(world, [{ ...entry, index: lastIndex + 1, term }]);
  return lastIndex + 1;
};

/** Moves to a term, in which this daemon has not voted, or has voted for `votedFor`. */
export const moveToTerm = (world: World, term: number, votedFor: DaemonId | null): void => {
  changeReplica(world, { term, votedFor });
  requestWrite(world, { kind: 'vote', term, votedFor });
};

/** Columns of a replica that does not lead. */
export const withoutLeadership = {
  leaseDeadline: Number.NEGATIVE_INFINITY,
  orderDeadline: never,
  leadershipIndex: 0,
} as const;

/** The entry that holds a proposal, if it is in the log. */
export const entryOfProposal = (world: World, proposal: string): LogEntryRow | undefined =>
  world.logEntries.where('proposal', proposal)[0];
