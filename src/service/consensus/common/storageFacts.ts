/**
 * Handles reports from storage on each tick: the state recovered at startup, synced writes, and
 * failures.
 */
import { asBrand } from '../../../base/common/brand.js';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { putSnapshot } from './compaction.js';
import type { DurableState } from './durableState.js';
import { electionDeadlineAfterLeadershipEnd, findLeaderInLog } from './endedLeadership.js';
import {
  maximumFailoverMilliseconds,
  minimumElectionTimeoutMilliseconds,
} from './consensusTiming.js';
import { hasLostDisk, isFoundingVoter, markJoined } from './joining.js';
import {
  changeReplica,
  nextElectionDeadline,
  replicaOf,
  nonLeaderColumns,
  putEntry,
} from './replicaLog.js';
import { restoreReplicatedState } from './replicatedState.js';
import { topicsOf } from './snapshot.js';
import { applyLoggedVoters, becomeLearner, joinMemberNames } from './voters.js';
import { ReplicaState, type StorageFact } from './replicaTables.js';

/**
 * Upper bound of the random delay before the first election of a new installation. No leader can
 * exist, so the delay only keeps voters from requesting votes at the same time.
 */
const firstElectionJitterMilliseconds = 600;

/**
 * Time after its start for which a daemon that lost its disk grants no vote. Voters that can elect a
 * leader without it have done so by then, and it has heard of that leader: a failover, and two of its
 * requests for entries.
 */
const emptyDiskVoteDelayMilliseconds = maximumFailoverMilliseconds + 1_000;

const sendHeldMessages = (world: World, sequence: number): void =>
  [...world.heldMessages.rows()]
    .filter((held) => held.sequence <= sequence)
    .forEach(({ id, to, message }) => {
      world.heldMessages.remove(id);
      world.outgoingMessages.append({ to, message });
    });

/**
 * Restores the leader of the current term from the log. If it was this daemon, its lease ended with
 * the previous process, so this voter need not wait for the lease to expire.
 */
const restoreLeaderFromLog = (world: World, now: Instant): void => {
  const { term } = replicaOf(world);
  const leader = findLeaderInLog(world, term);
  changeReplica(world, { voteRefusalLeader: leader });
  if (leader !== world.self.name) return;
  changeReplica(world, {
    voteRefusalLeader: null,
    endedTerm: term,
    voteRefusalDeadline: Number.NEGATIVE_INFINITY,
    electionDeadline: electionDeadlineAfterLeadershipEnd(world, now),
  });
};

const lastIndexOf = ({ entries, snapshot }: DurableState): number =>
  entries.at(-1)?.index ?? snapshot?.header.index ?? 0;

/** Restores the snapshot and the entries after it. */
const restoreLog = (world: World, { snapshot, entries }: DurableState, now: Instant): void => {
  entries.forEach((entry) => putEntry(world, entry));
  if (snapshot === null) return;
  const { index } = snapshot.header;
  putSnapshot(world, snapshot, now);
  restoreReplicatedState(world, snapshot.parts, topicsOf(true), now);
  changeReplica(world, { compactedIndex: index, commitIndex: index, deliveredIndex: index });
};

/** Records what the disk held, from which follows what the vote of this daemon counts. */
const recordRecovery = (world: World, state: DurableState, isEmpty: boolean): void =>
  world.events.append({
    kind: EventKind.StorageRecovered,
    subject: {
      isEmpty,
      knewVoters: isFoundingVoter(world),
      hadJoined: state.hasJoined,
      hasJoined: replicaOf(world).hasJoined,
      state: replicaOf(world).state,
      term: state.term,
      lastIndex: lastIndexOf(state),
      voters: joinMemberNames(world),
    },
  });

const handlers: HandlerTable<StorageFact, void, [World, Instant]> = {
  recovered: ({ state }, world, now) => {
    if (replicaOf(world).state !== ReplicaState.Recovering) return;
    // A voter syncs its term before it answers a leader, so an empty disk has not answered any.
    const isEmpty = state.term === 0 && lastIndexOf(state) === 0;
    const isFirstStart = isEmpty && !hasLostDisk(world);
    restoreLog(world, state, now);
    changeReplica(world, {
      state: ReplicaState.Follower,
      term: state.term,
      votedFor: state.votedFor === null ? null : asBrand<DaemonId>(state.votedFor),
      hasJoined: state.hasJoined,
      lastIndex: lastIndexOf(state),
      lastTerm: state.entries.at(-1)?.term ?? state.snapshot?.header.term ?? 0,
      electionDeadline: isFirstStart
        ? deadlineAfter(now, world.random.nextInteger(firstElectionJitterMilliseconds))
        : nextElectionDeadline(world, now),
      // It may have answered a renewal immediately before its process ended.
      voteRefusalDeadline: isFirstStart
        ? Number.NEGATIVE_INFINITY
        : deadlineAfter(
            now,
            isEmpty ? emptyDiskVoteDelayMilliseconds : minimumElectionTimeoutMilliseconds,
          ),
    });
    restoreLeaderFromLog(world, now);
    applyLoggedVoters(world);
    if (isFoundingVoter(world)) markJoined(world);
    if (!world.members.has(asBrand<DaemonId>(world.self.name))) becomeLearner(world, now);
    recordRecovery(world, state, isEmpty);
  },
  synced: ({ sequence }, world) => {
    changeReplica(world, { syncedSequence: sequence });
    [...world.pendingWrites.rows()]
      .filter((write) => write.sequence <= sequence)
      .forEach(({ id }) => world.pendingWrites.remove(id));
    sendHeldMessages(world, sequence);
  },
  failed: ({ failure }, world) => {
    changeReplica(world, { ...nonLeaderColumns, state: ReplicaState.Failed, leader: null });
    world.events.append({ kind: EventKind.StorageFailed, subject: { failure: failure.kind } });
    world.metrics.count('consensus.storageFailures');
  },
};

/** Handles all reports that storage has queued. */
export const handleStorageFacts = (world: World, now: Instant): void =>
  world.storageFacts.takeAll().forEach((fact) => dispatchByKind(handlers, fact, world, now));
