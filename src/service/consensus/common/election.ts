/**
 * Elections. A voter whose election timeout expires first runs a pre-vote, which changes no state,
 * and starts a new term only when a quorum grants it. A voter that has recently received messages
 * from a leader, and a leader with a valid lease, must refuse both kinds of votes, because leases
 * rely on it.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage } from './consensusMessages.js';
import {
  minimumElectionTimeoutMilliseconds,
  orderDelayAfterElectionMilliseconds,
} from './consensusTiming.js';
import { findElectionBasis, hasLostDisk, markJoined, ownVoteOf } from './joining.js';
import { describeLeaderAbsence } from './leaderAbsence.js';
import {
  appendEntry,
  changeReplica,
  nextElectionDeadline,
  isSynced,
  setTerm,
  replicaOf,
  sendAfterSync,
  nonLeaderColumns,
} from './replicaLog.js';
import { GrantedVote, ReplicaState, unsentColumns, type MemberRow } from './replicaTables.js';
import { createVoterStatement } from './voterStatements.js';
import { canVote, joinMemberNames } from './voters.js';
import {
  findVoteRefusal,
  hasActiveLeader,
  recordVoteAnswer,
  recordVoteDecision,
  type VoteRequest,
} from './votes.js';

/** Returns the voters other than this daemon. */
export const otherMembers = (world: World): MemberRow[] =>
  [...world.members.rows()].filter((member) => !member.isSelf);

/** Returns the size of a quorum: more than half of the voters. */
export const quorumSize = (world: World): number => Math.floor(world.members.size() / 2) + 1;

/** Whether a replica in a state participates in elections. */
const isParticipatingState: Readonly<Record<ReplicaState, boolean>> = {
  recovering: false,
  learner: false,
  follower: true,
  preCandidate: true,
  candidate: true,
  leader: true,
  failed: false,
};

/** Whether this daemon currently participates in elections. */
export const isElectionParticipant = (world: World): boolean =>
  isParticipatingState[replicaOf(world).state];

const ownId = (world: World): DaemonId => asBrand<DaemonId>(world.self.name);

const resetVotes = (world: World, now: Instant): void =>
  [...world.members.rows()].forEach(({ id, isSelf }) =>
    world.members.change(id, {
      grantedVote: isSelf ? ownVoteOf(world) : GrantedVote.None,
      voteRequestedAt: now,
    }),
  );

const requestVotes = (world: World, term: number, isPreVote: boolean, now: Instant): void => {
  const { lastIndex, lastTerm } = replicaOf(world);
  world.events.append({
    kind: EventKind.VotesRequested,
    subject: { term, isPreVote, lastTerm, lastIndex, voters: joinMemberNames(world) },
  });
  const message = {
    kind: 'voteRequested',
    term,
    isPreVote,
    lastIndex,
    lastTerm,
    leaderAbsence: describeLeaderAbsence(world, now),
  } as const;
  otherMembers(world).forEach(({ id }) => sendAfterSync(world, id, message));
};

/** Turns this replica into a follower; a leader or candidate steps down. */
export const becomeFollower = (world: World, now: Instant): void => {
  const { state, term } = replicaOf(world);
  if (state === ReplicaState.Leader) {
    changeReplica(world, { endedTerm: term });
    world.events.append({ kind: EventKind.LeadershipLost, subject: { term } });
  }
  changeReplica(world, {
    ...nonLeaderColumns,
    state: ReplicaState.Follower,
    leader: null,
    electionDeadline: nextElectionDeadline(world, now),
  });
};

/** Adopts the term of another voter if it is higher than the current term, and steps down. */
export const adoptHigherTerm = (world: World, term: number, now: Instant): void => {
  if (term <= replicaOf(world).term) return;
  if (isElectionParticipant(world)) becomeFollower(world, now);
  setTerm(world, term, null);
};

const startPreVote = (world: World, now: Instant): void => {
  resetVotes(world, now);
  changeReplica(world, {
    state: ReplicaState.PreCandidate,
    leader: null,
    electionDeadline: nextElectionDeadline(world, now),
  });
  requestVotes(world, replicaOf(world).term + 1, true, now);
};

const startElection = (world: World, now: Instant): void => {
  resetVotes(world, now);
  changeReplica(world, {
    state: ReplicaState.Candidate,
    electionDeadline: nextElectionDeadline(world, now),
  });
  const term = replicaOf(world).term + 1;
  setTerm(world, term, ownId(world));
  requestVotes(world, term, false, now);
};

/** Records by which votes this daemon was elected; called before votes and voters change. */
const recordElection = (world: World): void => {
  const votes = [...world.members.rows()].map(({ id, grantedVote }) => `${id}=${grantedVote}`);
  world.events.append({
    kind: EventKind.LeadershipTaken,
    subject: {
      term: replicaOf(world).term,
      electedBy: findElectionBasis(world),
      lastIndex: replicaOf(world).lastIndex,
      votes: votes.join(','),
    },
  });
};

const startLeadership = (world: World, now: Instant): void => {
  recordElection(world);
  markJoined(world);
  const { term, lastIndex } = replicaOf(world);
  [...world.members.rows()].forEach(({ id }) =>
    world.members.change(id, {
      ...unsentColumns,
      nextIndex: lastIndex + 1,
      matchIndex: 0,
      acknowledgedIndex: lastIndex,
      renewedAt: Number.NEGATIVE_INFINITY,
      answeredAt: null,
      renewalDeadline: now,
      sentCommitIndex: 0,
    }),
  );
  const leader = ownId(world);
  const leadershipIndex = appendEntry(world, {
    proposal: `leadership-${term}-${leader}`,
    origin: leader,
    command: { kind: 'leadershipTaken', leader },
  });
  changeReplica(world, {
    state: ReplicaState.Leader,
    leader,
    leadershipIndex,
    orderDeadline: deadlineAfter(now, orderDelayAfterElectionMilliseconds),
    electionDeadline: deadlineAfter(now, minimumElectionTimeoutMilliseconds),
  });
};

/**
 * Moves from the pre-vote to the election, or from the election to leadership, once enough voters
 * have granted their votes. This daemon's own vote counts once it is synced.
 */
export const advanceElection = (world: World, now: Instant): void => {
  if (!isSynced(world) || findElectionBasis(world) === null) return;
  const { state } = replicaOf(world);
  if (state === ReplicaState.PreCandidate) startElection(world, now);
  else if (state === ReplicaState.Candidate) startLeadership(world, now);
};

const electionDeadlineHandlers: Readonly<
  Record<ReplicaState, (world: World, now: Instant) => void>
> = {
  recovering: () => {},
  learner: () => {},
  follower: startPreVote,
  preCandidate: startPreVote,
  candidate: startPreVote,
  /** No quorum has answered the renewals of the leader within the election timeout. */
  leader: becomeFollower,
  failed: () => {},
};

/** Handles an expired election deadline according to the state of the replica. */
export const handleElectionDeadline = (world: World, now: Instant): void =>
  world.replica.takeDue('election', now).forEach(({ state }) => {
    changeReplica(world, { electionDeadline: never });
    electionDeadlineHandlers[state](world, now);
  });

const grantVote = (
  world: World,
  request: VoteRequest,
  candidate: DaemonRow,
  now: Instant,
): void => {
  const { term, votedFor } = replicaOf(world);
  if (votedFor === null) setTerm(world, term, candidate.id);
  // The pre-votes of a candidate without entries have shown that no entry was accepted.
  if (request.lastIndex === 0 && !hasLostDisk(world)) markJoined(world);
  if (isElectionParticipant(world))
    changeReplica(world, { electionDeadline: nextElectionDeadline(world, now) });
};

/**
 * Whether this daemon answers candidates: as a voter, or as a daemon whose disk was lost and with it
 * the knowledge that it votes. A voter answers one that it does not know as a voter, too, as it may
 * lack the change that added the candidate. A learner that has joined was removed from the voters.
 */
const canAnswerCandidates = (world: World): boolean =>
  replicaOf(world).state === ReplicaState.Learner
    ? canVote(world) && !replicaOf(world).hasJoined
    : isElectionParticipant(world);

/** Handlers for the messages of elections. */
export const electionHandlers: Pick<
  HandlerTable<ConsensusMessage, void, [World, DaemonRow, Instant]>,
  'voteRequested' | 'voteAnswered'
> = {
  voteRequested: (request, world, candidate, now) => {
    if (!canAnswerCandidates(world)) return;
    const { isPreVote } = request;
    const isNewTerm = !isPreVote && !hasActiveLeader(world, now);
    if (isNewTerm) adoptHigherTerm(world, request.term, now);
    const refusal = findVoteRefusal(world, request, candidate, now);
    if (refusal === null && !isPreVote) grantVote(world, request, candidate, now);
    recordVoteDecision(world, request, candidate, refusal);
    const term = refusal === null ? request.term : replicaOf(world).term;
    const isConditional = ownVoteOf(world) === GrantedVote.Conditional;
    sendAfterSync(world, candidate.id, {
      kind: 'voteAnswered',
      term,
      isPreVote,
      refusal,
      isConditional,
      statement: createVoterStatement(world, now),
    });
  },
  voteAnswered: (answer, world, voter, now) => {
    if (!isElectionParticipant(world)) return;
    recordVoteAnswer(world, answer, voter, now);
    if (answer.refusal !== null) {
      adoptHigherTerm(world, answer.term, now);
      return;
    }
    const { state, term } = replicaOf(world);
    const isPreVoteAnswer =
      answer.isPreVote && state === ReplicaState.PreCandidate && answer.term === term + 1;
    const isVoteAnswer =
      !answer.isPreVote && state === ReplicaState.Candidate && answer.term === term;
    const grantedVote = answer.isConditional ? GrantedVote.Conditional : GrantedVote.Full;
    if (isPreVoteAnswer || isVoteAnswer) world.members.change(voter.id, { grantedVote });
  },
};
