/**
 * What storage reports: the state that was read at the start, which writes are synced, and failures.
 */
import { asBrand } from '../../../base/common/brand.js';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { electionDeadlineAfterEnd, loggedLeaderOf } from './endedLeadership.js';
import { electionMinimumMilliseconds } from './consensusTiming.js';
import {
  changeReplica,
  electionDeadlineAfter,
  replicaOf,
  withoutLeadership,
} from './replicaLog.js';
import { adoptVoters, becomeLearner } from './voters.js';
import { entryIdOf, ReplicaState, type StorageFact } from './replicaTables.js';

/** At the first start no leader can be there, so voters wait only so as not to ask all at once. */
const firstElectionMilliseconds = 600;

const releaseMessages = (world: World, sequence: number): void =>
  [...world.heldMessages.rows()]
    .filter((held) => held.sequence <= sequence)
    .forEach(({ id, to, message }) => {
      world.heldMessages.remove(id);
      world.outgoingMessages.append({ to, message });
    });

/** Recalls from the log who led in the present term; where it was this daemon, its lease has ended. */
const recallLeader = (world: World, now: Instant): void => {
  const { term } = replicaOf(world);
  const leader = loggedLeaderOf(world, term);
  changeReplica(world, { refusesFor: leader });
  if (leader !== world.self.name) return;
  changeReplica(world, {
    refusesFor: null,
    endedTerm: term,
    voteRefusalDeadline: Number.NEGATIVE_INFINITY,
    electionDeadline: electionDeadlineAfterEnd(world, now),
  });
};

const handlers: HandlerTable<StorageFact, void, [World, Instant]> = {
  recovered: ({ state }, world, now) => {
    if (replicaOf(world).state !== ReplicaState.Recovering) return;
    const isFirstStart = !state.hasJoined && state.term === 0 && state.entries.length === 0;
    state.entries.forEach((entry) =>
      world.logEntries.put({ ...entry, id: entryIdOf(entry.index) }),
    );
    changeReplica(world, {
      state: ReplicaState.Follower,
      term: state.term,
      votedFor: state.votedFor === null ? null : asBrand<DaemonId>(state.votedFor),
      hasJoined: state.hasJoined,
      lastIndex: state.entries.at(-1)?.index ?? 0,
      lastTerm: state.entries.at(-1)?.term ?? 0,
      electionDeadline: isFirstStart
        ? deadlineAfter(now, world.random.nextInteger(firstElectionMilliseconds))
        : electionDeadlineAfter(world, now),
      // It may have answered a renewal right before it was ended.
      voteRefusalDeadline: isFirstStart
        ? Number.NEGATIVE_INFINITY
        : deadlineAfter(now, electionMinimumMilliseconds),
    });
    recallLeader(world, now);
    adoptVoters(world);
    if (!world.members.has(asBrand<DaemonId>(world.self.name))) becomeLearner(world, now);
  },
  synced: ({ sequence }, world) => {
    changeReplica(world, { syncedSequence: sequence });
    [...world.pendingWrites.rows()]
      .filter((write) => write.sequence <= sequence)
      .forEach(({ id }) => world.pendingWrites.remove(id));
    releaseMessages(world, sequence);
  },
  failed: ({ failure }, world) => {
    changeReplica(world, { ...withoutLeadership, state: ReplicaState.Failed, leader: null });
    world.events.append({ kind: EventKind.StorageFailed, subject: { failure: failure.kind } });
    world.metrics.count('consensus.storageFailures');
  },
};

/** Takes what storage has reported. */
export const takeStorageFacts = (world: World, now: Instant): void =>
  world.storageFacts.takeAll().forEach((fact) => dispatchByKind(handlers, fact, world, now));
