/**
 * Decides whether this voter grants its vote to a candidate, and records the decision.
 */
import type { UnionMember } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage } from './consensusMessages.js';
import { replicaOf } from './replicaLog.js';
import { ReplicaState } from './replicaTables.js';
import { VoteRefusal } from './voteRefusal.js';

export type VoteRequest = UnionMember<ConsensusMessage, 'voteRequested'>;

/** Whether this daemon leads with a valid lease, or must still respect the lease of a leader. */
export const hasActiveLeader = (world: World, now: Instant): boolean => {
  const { state, voteRefusalDeadline, leaseDeadline } = replicaOf(world);
  const hasLease = state === ReplicaState.Leader && now < leaseDeadline;
  return hasLease || now < voteRefusalDeadline;
};

/** Whether the log of the candidate is less complete than the log of this voter. */
const isLogBehind = (world: World, request: VoteRequest): boolean => {
  const { lastIndex, lastTerm } = replicaOf(world);
  if (request.lastTerm !== lastTerm) return request.lastTerm < lastTerm;
  return request.lastIndex < lastIndex;
};

const isTermStale = (world: World, request: VoteRequest): boolean => {
  const { term } = replicaOf(world);
  return request.isPreVote ? request.term <= term : request.term < term;
};

const hasVotedForAnother = (world: World, request: VoteRequest, candidate: DaemonRow): boolean => {
  const { term, votedFor, state } = replicaOf(world);
  if (request.isPreVote || request.term > term) return false;
  const hasOwnCandidacy = state !== ReplicaState.Follower && state !== ReplicaState.Learner;
  return hasOwnCandidacy || (votedFor !== null && votedFor !== candidate.id);
};

/** Returns why this daemon refuses its vote to the candidate, or null if it grants it. */
export const findVoteRefusal = (
  world: World,
  request: VoteRequest,
  candidate: DaemonRow,
  now: Instant,
): VoteRefusal | null => {
  const checks: readonly (readonly [VoteRefusal, boolean])[] = [
    [VoteRefusal.HasActiveLeader, hasActiveLeader(world, now)],
    [VoteRefusal.StaleTerm, isTermStale(world, request)],
    [VoteRefusal.VotedForAnother, hasVotedForAnother(world, request, candidate)],
    [VoteRefusal.LogBehind, isLogBehind(world, request)],
  ];
  return checks.find(([, isRefused]) => isRefused)?.[0] ?? null;
};

/** Records the decision on a vote, with the terms and indices that it is based on, as an event. */
export const recordVoteDecision = (
  world: World,
  request: VoteRequest,
  candidate: DaemonRow,
  refusal: VoteRefusal | null,
): void => {
  const { term, lastTerm, lastIndex, hasJoined } = replicaOf(world);
  world.events.append({
    kind: EventKind.VoteDecided,
    subject: {
      candidate: candidate.id,
      askedTerm: request.term,
      isPreVote: request.isPreVote,
      refusal: refusal ?? 'none',
      term,
      lastTerm,
      lastIndex,
      hasJoined,
    },
  });
};
