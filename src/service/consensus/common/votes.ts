/**
 * Whether a voter votes for another, and why not.
 */
import type { UnionMember, ValueOf } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage } from './consensusMessages.js';
import { mayVoteFor } from './joining.js';
import { replicaOf } from './replicaLog.js';
import { ReplicaState } from './replicaTables.js';

type VoteRequest = UnionMember<ConsensusMessage, 'voteRequested'>;

/** Why a vote was refused. */
export const VoteRefusal = {
  /** It has heard of a leader, or holds a lease itself, so recently that the lease may still hold. */
  KeepsToLeader: 'keepsToLeader',
  /** One of the two has lost its disk and not caught up; see the module `joining`. */
  NotJoined: 'notJoined',
  LogBehind: 'logBehind',
  TermPassed: 'termPassed',
  VotedForAnother: 'votedForAnother',
} as const;
export type VoteRefusal = ValueOf<typeof VoteRefusal>;

/** Whether it keeps to a leader that it has heard of, or leads itself. */
export const keepsToLeader = (world: World, now: Instant): boolean => {
  const { state, voteRefusalDeadline, leaseDeadline } = replicaOf(world);
  const holdsLease = state === ReplicaState.Leader && now < leaseDeadline;
  return holdsLease || now < voteRefusalDeadline;
};

/** Whether the log of the sender lacks what its own holds. */
const isLogBehind = (world: World, request: VoteRequest): boolean => {
  const { lastIndex, lastTerm } = replicaOf(world);
  if (request.lastTerm !== lastTerm) return request.lastTerm < lastTerm;
  return request.lastIndex < lastIndex;
};

const isTermPassed = (world: World, request: VoteRequest): boolean => {
  const { term } = replicaOf(world);
  return request.isPreVote ? request.term <= term : request.term < term;
};

const hasVotedForAnother = (world: World, request: VoteRequest, candidate: DaemonRow): boolean => {
  const { term, votedFor, state } = replicaOf(world);
  if (request.isPreVote || request.term > term) return false;
  return state !== ReplicaState.Follower || (votedFor !== null && votedFor !== candidate.id);
};

/** Why this daemon does not vote for the sender, or null where it does. */
export const findRefusal = (
  world: World,
  request: VoteRequest,
  candidate: DaemonRow,
  now: Instant,
): VoteRefusal | null => {
  const isMet: readonly (readonly [VoteRefusal, boolean])[] = [
    [VoteRefusal.KeepsToLeader, keepsToLeader(world, now)],
    [VoteRefusal.TermPassed, isTermPassed(world, request)],
    [VoteRefusal.VotedForAnother, hasVotedForAnother(world, request, candidate)],
    [VoteRefusal.NotJoined, !mayVoteFor(world, request.isNew)],
    [VoteRefusal.LogBehind, isLogBehind(world, request)],
  ];
  return isMet.find(([, holds]) => holds)?.[0] ?? null;
};

/** Records a decision with what it rests on. */
export const recordVote = (
  world: World,
  request: VoteRequest,
  candidate: DaemonRow,
  refusal: VoteRefusal | null,
): void => {
  const { term, lastTerm, lastIndex } = replicaOf(world);
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
    },
  });
};
