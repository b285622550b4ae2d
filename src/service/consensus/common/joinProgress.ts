/**
 * Records what a daemon that has not joined receives, so that its log and its metrics say how far it
 * is. Runs before the handlers of the messages and decides nothing; once joined, it records nothing.
 */
import type { UnionMember } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage } from './consensusMessages.js';
import { joinProgressId, namedVotersId, type JoinProgressRow } from './joinTables.js';
import { replicaOf } from './replicaLog.js';
import { incomingSnapshotId } from './snapshotTables.js';

/** Returns what was received so far; before the first message, nothing. */
export const joinProgressOf = (world: World): JoinProgressRow =>
  world.joinProgress.get(joinProgressId) ?? {
    id: joinProgressId,
    from: null,
    reportedIndex: null,
    partCount: null,
    receivedEntries: 0,
    receivedParts: 0,
    sampledIndex: 0,
    sampledAt: Number.NEGATIVE_INFINITY,
  };

/** Starts to count anew, when this daemon starts to lack entries. */
export const resetJoinProgress = (world: World): void => {
  world.joinProgress.remove(joinProgressId);
};

/** Remembers what this daemon holds at a report, for the speed in the next one. */
export const sampleJoinProgress = (world: World, now: Instant): void => {
  const sampled = { sampledIndex: replicaOf(world).lastIndex, sampledAt: now };
  world.joinProgress.put({ ...joinProgressOf(world), ...sampled });
};

interface Received {
  readonly from: DaemonId;
  /** Index up to which the sender holds all entries; absent if an older one does not say. */
  readonly reportedIndex?: number | undefined;
  readonly entries?: number;
  readonly parts?: number;
  readonly partCount?: number;
}

const recordReceived = (world: World, received: Received): void => {
  if (replicaOf(world).hasJoined) return;
  const row = joinProgressOf(world);
  const { from, reportedIndex, entries = 0, parts = 0, partCount = row.partCount } = received;
  const isNamed = reportedIndex !== undefined;
  world.joinProgress.put({
    ...row,
    from,
    reportedIndex: isNamed ? Math.max(row.reportedIndex ?? 0, reportedIndex) : row.reportedIndex,
    partCount,
    receivedEntries: row.receivedEntries + entries,
    receivedParts: row.receivedParts + parts,
  });
};

type JoiningKind = 'entriesAppended' | 'entriesFollowed' | 'snapshotOffered' | 'snapshotSent';

/** Recorders of the messages from which a daemon joins. */
export const joinRecorders: {
  readonly [Kind in JoiningKind]: (
    message: UnionMember<ConsensusMessage, Kind>,
    world: World,
    sender: DaemonRow,
  ) => void;
} = {
  entriesAppended: ({ commitIndex, entries }, world, { id }) =>
    recordReceived(world, { from: id, reportedIndex: commitIndex, entries: entries.length }),
  entriesFollowed: ({ deliveredIndex, entries }, world, { id }) => {
    if (id !== replicaOf(world).relay) return;
    recordReceived(world, { from: id, reportedIndex: deliveredIndex, entries: entries.length });
  },
  snapshotOffered: ({ index }, world, { id }) =>
    recordReceived(world, { from: id, reportedIndex: index }),
  snapshotSent: ({ header, count }, world, { id }) =>
    recordReceived(world, { from: id, reportedIndex: header.index, parts: 1, partCount: count }),
};

/** Records whether others name this daemon as a voter, which its own log may not say yet. */
export const recordNamedVoters = (
  world: World,
  { index, names }: { readonly index: number; readonly names: readonly string[] },
): void => {
  const known = world.namedVoters.get(namedVotersId);
  // A daemon that knows no voters names none.
  if (names.length === 0 || (known !== undefined && index < known.index)) return;
  const includesSelf = names.includes(world.self.name);
  if (known?.index === index && known.includesSelf === includesSelf) return;
  world.namedVoters.put({ id: namedVotersId, index, includesSelf });
};

/** Whether others have named the voters, and this daemon is none of them. */
export const isNamedSpare = (world: World): boolean =>
  world.namedVoters.get(namedVotersId)?.includesSelf === false;

/** Returns how many entries this daemon is known to lack; null if it does not know. */
export const countLackingEntries = (world: World): number | null => {
  const { reportedIndex } = joinProgressOf(world);
  return reportedIndex === null ? null : Math.max(0, reportedIndex - replicaOf(world).lastIndex);
};

/** Describes the parts of a snapshot that arrives as `HELD/ALL`; `none` if none does. */
export const describeIncomingParts = (world: World): string => {
  const incoming = world.incomingSnapshots.get(incomingSnapshotId);
  if (incoming === undefined) return 'none';
  return `${incoming.parts.length}/${joinProgressOf(world).partCount ?? '?'}`;
};
