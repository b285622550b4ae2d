/**
 * Compaction of the log. A daemon with the full log takes a snapshot of its replicated rows once the
 * entries since the last one are as large as that one, and removes the entries that the last one
 * stands for. So the log of a daemon, in memory and on disk, stays within a small multiple of the
 * replicated state. Runs after committed entries were applied; each daemon compacts on its own.
 */
import { computeEncodedBytes } from '../../../base/common/encodedSize.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { isElectionParticipant } from './election.js';
import { findLeaderInLog } from './endedLeadership.js';
import {
  changeReplica,
  hasFullLog,
  removeEntries,
  replicaOf,
  snapshotOf,
  termAt,
} from './replicaLog.js';
import { captureReplicatedState } from './replicatedState.js';
import { ReplicaState } from './replicaTables.js';
import { snapshotId } from './snapshotTables.js';
import type { Snapshot, SnapshotHeader } from './snapshot.js';
import { requestStateReplacement } from './stateReplacement.js';
import { findVotersAt } from './voters.js';

/**
 * Least size of the entries since a snapshot at which the next one is taken, however small the state
 * is. A daemon that joins receives as much besides the snapshot: 0.3 s at 50 Mbit/s.
 */
const minimumCompactionBytes = 2 * 1024 * 1024;

/**
 * Longest time for which a snapshot is kept because other daemons receive it. 15 MB arrive within it
 * at the 4 Mbit/s for which the timeouts of parts are made; the log grows meanwhile.
 */
const maximumTransferMilliseconds: Milliseconds = 30_000;

/** Whether a replica in a state applies entries and may discard them. */
const isCompactingState: Readonly<Record<ReplicaState, boolean>> = {
  recovering: false,
  learner: true,
  follower: true,
  preCandidate: true,
  candidate: true,
  leader: true,
  failed: false,
};

const isCompactionDue = (world: World, now: Instant): boolean => {
  const { state, bytesSinceSnapshot } = replicaOf(world);
  if (bytesSinceSnapshot < minimumCompactionBytes || !isCompactingState[state]) return false;
  const snapshot = snapshotOf(world);
  if (snapshot === undefined) return true;
  const isReplaceable = now >= snapshot.transferDeadline || now >= snapshot.replacementDeadline;
  return isReplaceable && bytesSinceSnapshot >= snapshot.encodedBytes;
};

const createHeader = (world: World, index: number): SnapshotHeader => {
  const term = termAt(world, index)!;
  return {
    index,
    term,
    ...findVotersAt(world, index),
    leader: findLeaderInLog(world, term, index),
  };
};

/** Stores a snapshot that stands for all entries up to its index. */
export const putSnapshot = (world: World, { header, parts }: Snapshot, now: Instant): void => {
  world.snapshots.put({
    id: snapshotId,
    header,
    parts,
    encodedBytes: computeEncodedBytes(parts),
    transferDeadline: now,
    replacementDeadline: deadlineAfter(now, maximumTransferMilliseconds),
  });
};

/**
 * Takes a snapshot of the delivered entries. Entries since the last snapshot are kept, so that a
 * daemon that is a little behind need not receive the snapshot.
 */
const compact = (world: World, now: Instant): void => {
  const { deliveredIndex, bytesSinceSnapshot } = replicaOf(world);
  const previousIndex = snapshotOf(world)?.header.index ?? 0;
  const header = createHeader(world, deliveredIndex);
  putSnapshot(world, { header, parts: captureReplicatedState(world) }, now);
  removeEntries(world, previousIndex);
  changeReplica(world, { bytesSinceSnapshot: 0 });
  world.metrics.count('consensus.snapshotsTaken');
  world.events.append({
    kind: EventKind.SnapshotTaken,
    subject: {
      index: header.index,
      term: header.term,
      bytes: snapshotOf(world)!.encodedBytes,
      replacedBytes: bytesSinceSnapshot,
    },
  });
  if (isElectionParticipant(world)) requestStateReplacement(world, true);
};

/** Creates the system that compacts the log. */
export const createCompactionSystem = (world: World): System => ({
  name: 'compaction',
  run: (now) => {
    if (hasFullLog(world) && isCompactionDue(world, now)) compact(world, now);
  },
});
