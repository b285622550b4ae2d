/**
 * Replication from the leader to the other voters, its lease, and the commit index. Entries go out while
 * they are being synced; the leader's own copy counts only once it is synced, and so do the others'.
 */
import type { HandlerTable, UnionMember } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage } from './consensusMessages.js';
import {
  electionMinimumMilliseconds,
  leaseMilliseconds,
  maximumEntriesInMessage,
  renewalMilliseconds,
} from './consensusTiming.js';
import {
  becomeFollower,
  followHigherTerm,
  otherMembers,
  quorumSize,
  takesPart,
} from './election.js';
import { join } from './joining.js';
import type { LogEntry } from './logEntry.js';
import {
  changeReplica,
  electionDeadlineAfter,
  entriesBetween,
  replicaOf,
  sendOnceSynced,
  storeEntries,
  syncedIndexOf,
  termAt,
} from './replicaLog.js';
import { adoptVoters, becomeVoter, canVote } from './voters.js';
import { isCurrentLeader, ReplicaState, type MemberRow } from './replicaTables.js';

const sendEntries = (world: World, member: MemberRow, now: Instant): void => {
  const { term, commitIndex } = replicaOf(world);
  const previousIndex = member.nextIndex - 1;
  const last = previousIndex + maximumEntriesInMessage;
  const entries = entriesBetween(world, member.nextIndex, last);
  world.outgoingMessages.append({
    to: member.id,
    message: {
      kind: 'entriesAppended',
      term,
      previousIndex,
      previousTerm: termAt(world, previousIndex) ?? 0,
      entries,
      commitIndex,
      renewal: now,
      currentAsOf:
        isCurrentLeader(replicaOf(world), now) && Number.isFinite(member.answeredAt)
          ? member.answeredAt
          : null,
    },
  });
  world.members.change(member.id, {
    nextIndex: member.nextIndex + entries.length,
    toldCommitIndex: commitIndex,
    renewalDeadline: deadlineAfter(now, renewalMilliseconds),
  });
};

const hasNews = (world: World, member: MemberRow): boolean => {
  const { lastIndex, commitIndex } = replicaOf(world);
  return member.nextIndex <= lastIndex || member.toldCommitIndex < commitIndex;
};

/** The value that a quorum has reached, out of one value for each voter. */
const reachedByQuorum = (world: World, values: readonly number[]): number =>
  [...values].sort((first, second) => second - first)[quorumSize(world) - 1]!;

/** Moves the commit index to what a quorum has synced; only entries of the present term are counted. */
export const advanceCommit = (world: World): void => {
  const { state, term, commitIndex } = replicaOf(world);
  if (state !== ReplicaState.Leader) return;
  const own = syncedIndexOf(world);
  const indices = [...world.members.rows()].map((row) => (row.isSelf ? own : row.matchIndex));
  const reached = reachedByQuorum(world, indices);
  if (reached > commitIndex && termAt(world, reached) === term) {
    changeReplica(world, { commitIndex: reached });
  }
};

/** Counts the lease from the sending of the renewals that a quorum has answered. */
export const extendLease = (world: World, now: Instant): void => {
  if (replicaOf(world).state !== ReplicaState.Leader) return;
  const instants = [...world.members.rows()].map((row) => (row.isSelf ? now : row.renewedAt));
  const renewedAt = reachedByQuorum(world, instants);
  if (renewedAt === Number.NEGATIVE_INFINITY) return;
  changeReplica(world, {
    leaseDeadline: deadlineAfter(renewedAt, leaseMilliseconds),
    electionDeadline: deadlineAfter(renewedAt, electionMinimumMilliseconds),
  });
};

const renewOwn = (world: World, now: Instant): void => {
  const self = [...world.members.rows()].find((member) => member.isSelf)!;
  const renewalDeadline = deadlineAfter(now, renewalMilliseconds);
  world.members.change(self.id, { renewalDeadline });
  extendLease(world, now);
};

/** Sends what is new to each voter, and renews the lease where that is due. */
export const replicate = (world: World, now: Instant): void => {
  const due = world.members.takeDue('renewal', now);
  if (replicaOf(world).state !== ReplicaState.Leader) return;
  const dueIds = new Set(due.map(({ id }) => id));
  otherMembers(world)
    .filter((member) => dueIds.has(member.id) || hasNews(world, member))
    .forEach((member) => sendEntries(world, member, now));
  if (due.some((member) => member.isSelf)) renewOwn(world, now);
};

type Append = UnionMember<ConsensusMessage, 'entriesAppended'>;

const answer = (
  world: World,
  append: Append,
  leader: DaemonRow,
  now: Instant,
  result: { readonly accepted: boolean; readonly matchIndex: number },
): void =>
  sendOnceSynced(world, leader.id, {
    kind: 'appendAnswered',
    term: replicaOf(world).term,
    renewal: append.renewal,
    isNew: !replicaOf(world).hasJoined,
    answeredAt: now,
    ...result,
  });

const hearOfLeader = (world: World, append: Append, leader: DaemonRow, now: Instant): void => {
  followHigherTerm(world, append.term, now);
  if (replicaOf(world).state !== ReplicaState.Follower) becomeFollower(world, now);
  changeReplica(world, {
    leader: leader.id,
    refusesFor: leader.id,
    electionDeadline: electionDeadlineAfter(world, now),
    voteRefusalDeadline: deadlineAfter(now, electionMinimumMilliseconds),
  });
};

const storeNewEntries = (world: World, entries: readonly LogEntry[]): void => {
  const position = entries.findIndex((entry) => termAt(world, entry.index) !== entry.term);
  if (position < 0) return;
  const stored = entries.slice(position);
  const replacesVoters = stored[0]!.index <= replicaOf(world).votersIndex;
  storeEntries(world, stored);
  const changesVoters = stored.some(({ command }) => command.kind === 'votersSet');
  if (replacesVoters || changesVoters) adoptVoters(world);
};

const takeEntries = (world: World, append: Append): number => {
  storeNewEntries(world, append.entries);
  const matchIndex = append.previousIndex + append.entries.length;
  const { commitIndex } = replicaOf(world);
  changeReplica(world, {
    commitIndex: Math.max(commitIndex, Math.min(append.commitIndex, matchIndex)),
  });
  return matchIndex;
};

const noteCurrent = (world: World, append: Append): void => {
  const { commitIndex, lastIndex, currentAsOf } = replicaOf(world);
  if (append.currentAsOf === null || commitIndex < append.commitIndex) return;
  if (lastIndex >= append.commitIndex) join(world);
  changeReplica(world, { currentAsOf: Math.max(currentAsOf, append.currentAsOf) });
};

type Answer = UnionMember<ConsensusMessage, 'appendAnswered'>;

const progressOf = (
  member: MemberRow,
  { accepted, matchIndex, isNew }: Answer,
): Pick<MemberRow, 'matchIndex' | 'nextIndex'> => {
  if (accepted) {
    const reached = Math.max(member.matchIndex, matchIndex);
    return { matchIndex: reached, nextIndex: Math.max(member.nextIndex, reached + 1) };
  }
  // A new voter has lost what it acknowledged; of others a late refusal takes nothing back.
  const kept = isNew ? matchIndex : Math.max(member.matchIndex, matchIndex);
  return { matchIndex: Math.min(member.matchIndex, kept), nextIndex: kept + 1 };
};

/** What a voter does with the messages of replication. */
export const replicationHandlers: Pick<
  HandlerTable<ConsensusMessage, void, [World, DaemonRow, Instant]>,
  'entriesAppended' | 'appendAnswered'
> = {
  entriesAppended: (append, world, leader, now) => {
    if (replicaOf(world).state === ReplicaState.Learner && canVote(world)) becomeVoter(world, now);
    if (!takesPart(world)) return;
    const { term, lastIndex, commitIndex } = replicaOf(world);
    if (append.term < term) {
      answer(world, append, leader, now, { accepted: false, matchIndex: 0 });
      return;
    }
    hearOfLeader(world, append, leader, now);
    if (termAt(world, append.previousIndex) !== append.previousTerm) {
      const matchIndex = lastIndex < append.previousIndex ? lastIndex : commitIndex;
      answer(world, append, leader, now, { accepted: false, matchIndex });
      return;
    }
    const matchIndex = takeEntries(world, append);
    noteCurrent(world, append);
    answer(world, append, leader, now, { accepted: true, matchIndex });
  },
  appendAnswered: (answered, world, voter, now) => {
    followHigherTerm(world, answered.term, now);
    const member = world.members.get(voter.id);
    const { state, term } = replicaOf(world);
    if (member === undefined || state !== ReplicaState.Leader || answered.term !== term) return;
    world.members.change(voter.id, {
      ...progressOf(member, answered),
      renewedAt: Math.max(member.renewedAt, answered.renewal),
      answeredAt: Math.max(member.answeredAt, answered.answeredAt),
      renewalDeadline: answered.accepted ? member.renewalDeadline : now,
    });
    extendLease(world, now);
  },
};
