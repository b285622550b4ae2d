/**
 * Runs the replica of this daemon on each tick: storage results, elections, proposals, replication
 * and learners, in a fixed order.
 */
import { asBrand } from '../../../base/common/brand.js';
import { never, type Instant } from '../../../base/common/time.js';
import { Discovery } from '../../../infrastructure/settings/common/deployment.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { entryRowsBetween } from './entryBatch.js';
import { advanceElection, handleElectionDeadline } from './election.js';
import { replicateToLearners, sendFollowRequest } from './following.js';
import { updateLeadership } from './lease.js';
import { processProposals, resendProposals } from './proposals.js';
import { changeReplica, replicaOf, nonLeaderColumns, toLogEntry } from './replicaLog.js';
import { replicaId, ReplicaState } from './replicaTables.js';
import { canVote, putVoters } from './voters.js';
import { advanceCommitIndex, replicate } from './replication.js';
import { continueReceiving } from './snapshotTransfer.js';
import { handleStorageFacts } from './storageFacts.js';

/** Inserts the replica and the initial voters; called once, before the first tick. */
export const insertReplica = (world: World, now: Instant): void => {
  // Listed discovery also lists the voters; otherwise the log on the disk decides who votes.
  const isListed = world.deployment.discovery === Discovery.Listed;
  const isInitialVoter = isListed ? world.initialVoters.includes(world.self.name) : canVote(world);
  world.replica.put({
    ...nonLeaderColumns,
    id: replicaId,
    state: isInitialVoter ? ReplicaState.Recovering : ReplicaState.Learner,
    votersIndex: 0,
    term: 0,
    votedFor: null,
    hasJoined: false,
    leader: null,
    lastIndex: 0,
    lastTerm: 0,
    commitIndex: 0,
    deliveredIndex: 0,
    compactedIndex: 0,
    bytesSinceSnapshot: 0,
    requestedSequence: 0,
    requiredSequence: 0,
    syncedSequence: 0,
    electionDeadline: never,
    voteRefusalDeadline: Number.NEGATIVE_INFINITY,
    voteRefusalLeader: null,
    endedTerm: 0,
    currentAsOf: Number.NEGATIVE_INFINITY,
    heardAt: Number.NEGATIVE_INFINITY,
    leaderAbsence: null,
    followDeadline: isInitialVoter ? never : now,
    relay: null,
    relayDeadline: Number.NEGATIVE_INFINITY,
  });
  putVoters(world, world.initialVoters);
};

const deliverCommittedEntries = (world: World): void => {
  const { commitIndex, deliveredIndex, bytesSinceSnapshot } = replicaOf(world);
  if (deliveredIndex === commitIndex) return;
  const rows = [...entryRowsBetween(world, deliveredIndex + 1, commitIndex)];
  rows.forEach((row) =>
    world.committedEntries.append({ ...toLogEntry(row), proposal: asBrand(row.proposal) }),
  );
  const deliveredBytes = rows.reduce((sum, { encodedBytes }) => sum + encodedBytes, 0);
  changeReplica(world, {
    deliveredIndex: commitIndex,
    bytesSinceSnapshot: bytesSinceSnapshot + deliveredBytes,
  });
};

/** Creates the replica system. */
export const createReplicaSystem = (world: World): System => {
  let lastLeader: DaemonId | null = null;

  const handleLeaderChange = (now: Instant): void => {
    const { leader } = replicaOf(world);
    if (leader === lastLeader) return;
    lastLeader = leader;
    resendProposals(world, now);
  };

  return {
    name: 'replica',
    run: (now) => {
      handleStorageFacts(world, now);
      handleElectionDeadline(world, now);
      advanceElection(world, now);
      handleLeaderChange(now);
      processProposals(world, now);
      advanceCommitIndex(world);
      replicate(world, now);
      deliverCommittedEntries(world);
      continueReceiving(world, now);
      sendFollowRequest(world, now);
      replicateToLearners(world, now);
      world.replica.takeDue('order', now);
      updateLeadership(world, now);
    },
  };
};
