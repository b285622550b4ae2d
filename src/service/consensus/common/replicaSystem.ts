/**
 * The replica of this daemon in the replicated log: elections, replication, proposals and learners, in
 * one fixed order each tick.
 */
import { asBrand } from '../../../base/common/brand.js';
import { never, type Instant } from '../../../base/common/time.js';
import { Role, type DaemonSettings } from '../../../infrastructure/settings/common/deployment.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { maximumVoters } from './consensusTiming.js';
import { countVotes, takeElectionDeadline } from './election.js';
import { feedLearners, follow } from './following.js';
import { updateLeadership } from './lease.js';
import { carryProposals, resendProposals } from './proposals.js';
import { changeReplica, entriesBetween, replicaOf, withoutLeadership } from './replicaLog.js';
import { replicaId, ReplicaState } from './replicaTables.js';
import { advanceCommit, replicate } from './replication.js';
import { takeStorageFacts } from './storageFacts.js';

const isControl = ({ roles }: DaemonSettings): boolean => roles.includes(Role.Control);

const insertMember = (world: World, name: string): void => {
  world.members.put({
    id: asBrand<DaemonId>(name),
    isSelf: name === world.self.name,
    hasGrantedVote: false,
    nextIndex: 1,
    matchIndex: 0,
    renewedAt: Number.NEGATIVE_INFINITY,
    answeredAt: Number.NEGATIVE_INFINITY,
    renewalDeadline: never,
    toldCommitIndex: 0,
  });
};

/** Puts the replica and the voters of the settings into their tables; done once, before the first tick. */
export const insertReplica = (
  world: World,
  voters: readonly string[] | undefined,
  now: Instant,
): void => {
  const control = world.deployment.daemons.filter(isControl).map(({ name }) => name);
  (voters ?? control.slice(0, maximumVoters)).forEach((name) => insertMember(world, name));
  const isVoter = world.members.has(asBrand<DaemonId>(world.self.name));
  world.replica.put({
    ...withoutLeadership,
    id: replicaId,
    state: isVoter ? ReplicaState.Recovering : ReplicaState.Learner,
    term: 0,
    votedFor: null,
    hasJoined: false,
    leader: null,
    lastIndex: 0,
    lastTerm: 0,
    commitIndex: 0,
    deliveredIndex: 0,
    requestedSequence: 0,
    syncedSequence: 0,
    electionDeadline: never,
    voteRefusalDeadline: Number.NEGATIVE_INFINITY,
    currentAsOf: Number.NEGATIVE_INFINITY,
    followDeadline: isVoter ? never : now,
    relay: null,
    relayDeadline: Number.NEGATIVE_INFINITY,
  });
};

const deliverCommitted = (world: World): void => {
  const { commitIndex, deliveredIndex } = replicaOf(world);
  entriesBetween(world, deliveredIndex + 1, commitIndex).forEach((entry) =>
    world.committedEntries.append({ ...entry, proposal: asBrand(entry.proposal) }),
  );
  changeReplica(world, { deliveredIndex: commitIndex });
};

/** Creates the system of the replica. */
export const createReplicaSystem = (world: World): System => {
  let knownLeader: DaemonId | null = null;

  const noticeLeader = (now: Instant): void => {
    const { leader } = replicaOf(world);
    if (leader === knownLeader) return;
    knownLeader = leader;
    resendProposals(world, now);
  };

  return {
    name: 'replica',
    run: (now) => {
      takeStorageFacts(world, now);
      takeElectionDeadline(world, now);
      countVotes(world, now);
      noticeLeader(now);
      carryProposals(world, now);
      advanceCommit(world);
      replicate(world, now);
      deliverCommitted(world);
      follow(world, now);
      feedLearners(world, now);
      world.replica.takeDue('order', now);
      updateLeadership(world, now);
    },
  };
};
