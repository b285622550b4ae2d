/**
 * Decides whether this voter grants its vote to a candidate, and records the decision.
 */
import type { UnionMember } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage } from './consensusMessages.js';
import {
  electionTimeoutJitterMilliseconds,
  minimumElectionTimeoutMilliseconds,
} from './consensusTiming.js';
import { replicaOf } from './replicaLog.js';
import { ReplicaState, type MemberRow } from './replicaTables.js';
import { VoteAnswer, VoteRefusal } from './voteRefusal.js';

export type VoteRequest = UnionMember<ConsensusMessage, 'voteRequested'>;
type VoteReply = UnionMember<ConsensusMessage, 'voteAnswered'>;

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
  if (refusal !== null) world.metrics.count('votes.refused', 1, { reason: refusal });
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

/** Records the answer of a voter for reports; it decides nothing. */
export const recordVoteAnswer = (
  world: World,
  { refusal, isConditional }: VoteReply,
  voter: DaemonRow,
  now: Instant,
): void => {
  const grant = isConditional ? VoteAnswer.Conditional : VoteAnswer.Granted;
  world.members.change(voter.id, { voteAnswer: refusal ?? grant, voteAnsweredAt: now });
  if (refusal !== null) world.metrics.count('votes.refusalsReceived', 1, { reason: refusal });
};

/**
 * Time for which an answer describes a voter: two of the longest election timeouts, so that the
 * answers to the request before the last one still count while those to the last one are under way.
 */
const voteAnswerMilliseconds =
  2 * (minimumElectionTimeoutMilliseconds + electionTimeoutJitterMilliseconds);

/** Returns the recent answer of a voter to this daemon as a candidate. */
export const findRecentVoteAnswer = (
  { voteAnswer, voteAnsweredAt, voteRequestedAt }: MemberRow,
  now: Instant,
): VoteAnswer => {
  const recentFrom = now - voteAnswerMilliseconds;
  if (voteAnsweredAt >= recentFrom) return voteAnswer;
  return voteRequestedAt >= recentFrom ? VoteAnswer.None : VoteAnswer.NotAsked;
};

/** Returns the number of other voters that have recently answered this daemon as a candidate. */
export const countVoteAnswers = (world: World, now: Instant): number =>
  [...world.members.rows()].filter(
    ({ voteAnsweredAt }) => voteAnsweredAt >= now - voteAnswerMilliseconds,
  ).length;
