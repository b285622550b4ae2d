/**
 * Elections. A voter that has heard of no leader first asks whether it would be elected, which changes
 * nothing; only when a quorum says yes does it begin a term. A voter that has heard of a leader, and a
 * leader whose lease holds, refuse both, so that leases rest on a quorum that keeps to them.
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
import { markJoined, requiredVotes } from './joining.js';
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
import { ReplicaState, type MemberRow } from './replicaTables.js';
import { findVoteRefusal, hasActiveLeader, recordVoteDecision } from './votes.js';

/** The other voters. */
export const otherMembers = (world: World): MemberRow[] =>
  [...world.members.rows()].filter((member) => !member.isSelf);

/** How many voters make a quorum: more than half. */
export const quorumSize = (world: World): number => Math.floor(world.members.size() / 2) + 1;

/** Whether a state takes part in elections. */
const isParticipatingState: Readonly<Record<ReplicaState, boolean>> = {
  recovering: false,
  learner: false,
  follower: true,
  preCandidate: true,
  candidate: true,
  leader: true,
  failed: false,
};

/** Whether this daemon takes part in elections now. */
export const isElectionParticipant = (world: World): boolean =>
  isParticipatingState[replicaOf(world).state];

const ownId = (world: World): DaemonId => asBrand<DaemonId>(world.self.name);

const resetVotes = (world: World): void =>
  [...world.members.rows()].forEach(({ id, isSelf }) =>
    world.members.change(id, { hasGrantedVote: isSelf }),
  );

const joinMemberNames = (world: World): string =>
  [...world.members.rows()].map(({ id }) => id).join(',');

const requestVotes = (world: World, term: number, isPreVote: boolean): void => {
  const { lastIndex, lastTerm, hasJoined } = replicaOf(world);
  world.events.append({
    kind: EventKind.VotesAsked,
    subject: { term, isPreVote, lastTerm, lastIndex, voters: joinMemberNames(world) },
  });
  const message = {
    kind: 'voteRequested',
    term,
    isPreVote,
    isNew: !hasJoined,
    lastIndex,
    lastTerm,
  } as const;
  otherMembers(world).forEach(({ id }) => sendAfterSync(world, id, message));
};

/** Ceases to lead or to ask for votes. */
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

/** Takes over a higher term that another voter has named. */
export const adoptHigherTerm = (world: World, term: number, now: Instant): void => {
  if (term <= replicaOf(world).term) return;
  becomeFollower(world, now);
  setTerm(world, term, null);
};

const startPreVote = (world: World, now: Instant): void => {
  resetVotes(world);
  changeReplica(world, {
    state: ReplicaState.PreCandidate,
    leader: null,
    electionDeadline: nextElectionDeadline(world, now),
  });
  requestVotes(world, replicaOf(world).term + 1, true);
};

const startElection = (world: World, now: Instant): void => {
  resetVotes(world);
  changeReplica(world, {
    state: ReplicaState.Candidate,
    electionDeadline: nextElectionDeadline(world, now),
  });
  const term = replicaOf(world).term + 1;
  setTerm(world, term, ownId(world));
  requestVotes(world, term, false);
};

const startLeadership = (world: World, now: Instant): void => {
  markJoined(world);
  const { term, lastIndex } = replicaOf(world);
  [...world.members.rows()].forEach(({ id }) =>
    world.members.change(id, {
      nextIndex: lastIndex + 1,
      matchIndex: 0,
      renewedAt: Number.NEGATIVE_INFINITY,
      answeredAt: Number.NEGATIVE_INFINITY,
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
  world.events.append({ kind: EventKind.LeadershipTaken, subject: { term } });
};

const hasQuorumOfVotes = (world: World): boolean => {
  const granted = [...world.members.rows()].filter((member) => member.hasGrantedVote);
  return granted.length >= requiredVotes(world);
};

/** Goes on where a quorum has granted its votes; the own vote counts once it is synced. */
export const advanceElection = (world: World, now: Instant): void => {
  if (!isSynced(world) || !hasQuorumOfVotes(world)) return;
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
  /** A leader whose renewals no quorum has answered for so long steps down. */
  leader: becomeFollower,
  failed: () => {},
};

/** Acts on an election deadline that has passed. */
export const handleElectionDeadline = (world: World, now: Instant): void =>
  world.replica.takeDue('election', now).forEach(({ state }) => {
    changeReplica(world, { electionDeadline: never });
    electionDeadlineHandlers[state](world, now);
  });

const grantVote = (world: World, candidate: DaemonRow, now: Instant): void => {
  const { term, votedFor } = replicaOf(world);
  if (votedFor === null) setTerm(world, term, candidate.id);
  markJoined(world);
  changeReplica(world, { electionDeadline: nextElectionDeadline(world, now) });
};

/** What a voter does with the messages of elections. */
export const electionHandlers: Pick<
  HandlerTable<ConsensusMessage, void, [World, DaemonRow, Instant]>,
  'voteRequested' | 'voteAnswered'
> = {
  voteRequested: (request, world, candidate, now) => {
    if (!isElectionParticipant(world) || !world.members.has(candidate.id)) return;
    const { isPreVote } = request;
    const isNewTerm = !isPreVote && !hasActiveLeader(world, now);
    if (isNewTerm) adoptHigherTerm(world, request.term, now);
    const refusal = findVoteRefusal(world, request, candidate, now);
    if (refusal === null && !isPreVote) grantVote(world, candidate, now);
    recordVoteDecision(world, request, candidate, refusal);
    const granted = refusal === null;
    const term = granted ? request.term : replicaOf(world).term;
    sendAfterSync(world, candidate.id, { kind: 'voteAnswered', term, isPreVote, granted });
  },
  voteAnswered: (answer, world, voter, now) => {
    if (!isElectionParticipant(world)) return;
    if (!answer.granted) {
      adoptHigherTerm(world, answer.term, now);
      return;
    }
    const { state, term } = replicaOf(world);
    const isPreVoteAnswer =
      answer.isPreVote && state === ReplicaState.PreCandidate && answer.term === term + 1;
    const isVoteAnswer =
      !answer.isPreVote && state === ReplicaState.Candidate && answer.term === term;
    if (isPreVoteAnswer || isVoteAnswer) world.members.change(voter.id, { hasGrantedVote: true });
  },
};
