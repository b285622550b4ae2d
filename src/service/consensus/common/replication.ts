/**
 * Replication from the leader to the other voters, the lease of the leader, and the commit index.
 * The leader sends entries while it still syncs them. A copy on any voter, including the leader,
 * counts only after it is synced.
 */
import type { HandlerTable, UnionMember } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { Batch } from '../../../infrastructure/wire/common/frameLimits.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import { createEchoedInstant, readEchoedInstant } from '../../world/common/echoedInstant.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage } from './consensusMessages.js';
import {
  catchUpReportMilliseconds,
  minimumElectionTimeoutMilliseconds,
  leaseDurationMilliseconds,
  leaseRenewalIntervalMilliseconds,
} from './consensusTiming.js';
import {
  becomeFollower,
  adoptHigherTerm,
  otherMembers,
  quorumSize,
  isElectionParticipant,
} from './election.js';
import { markJoined } from './joining.js';
import type { LogEntry } from './logEntry.js';
import { computeProgress, reportBehind, selectEntriesFor } from './memberProgress.js';
import {
  changeReplica,
  nextElectionDeadline,
  canContinueFrom,
  replicaOf,
  sendAfterSync,
  storeEntries,
  syncedIndexOf,
  termAt,
  toLogEntry,
} from './replicaLog.js';
import { offerSnapshot } from './snapshotTransfer.js';
import { applyLoggedVoters, becomeVoter, canVote } from './voters.js';
import {
  isCurrentLeader,
  ReplicaState,
  type LogEntryRow,
  type MemberRow,
} from './replicaTables.js';

const sendEntries = (
  world: World,
  member: MemberRow,
  { rows, bytes }: Batch<LogEntryRow>,
  now: Instant,
): void => {
  const { term, commitIndex } = replicaOf(world);
  const previousIndex = member.nextIndex - 1;
  const entries = rows.map(toLogEntry);
  world.outgoingMessages.append({
    to: member.id,
    message: {
      kind: 'entriesAppended',
      term,
      previousIndex,
      previousTerm: termAt(world, previousIndex) ?? 0,
      entries,
      commitIndex,
      renewal: createEchoedInstant(world, now),
      currentAsOf: isCurrentLeader(replicaOf(world), now) ? member.answeredAt : null,
    },
  });
  world.members.change(member.id, {
    nextIndex: member.nextIndex + entries.length,
    unacknowledgedBytes: member.unacknowledgedBytes + bytes,
    catchUpDeadline:
      rows.length > 0
        ? Math.min(member.catchUpDeadline, deadlineAfter(now, catchUpReportMilliseconds))
        : member.catchUpDeadline,
    sentCommitIndex: commitIndex,
    renewalDeadline: deadlineAfter(now, leaseRenewalIntervalMilliseconds),
  });
};

/** Returns the largest value that a quorum has reached, given one value per voter. */
const computeQuorumValue = (world: World, values: readonly number[]): number =>
  [...values].sort((first, second) => second - first)[quorumSize(world) - 1]!;

/**
 * Advances the commit index to the last entry that a quorum has synced. Only an entry of the
 * current term can advance it.
 */
export const advanceCommitIndex = (world: World): void => {
  const { state, term, commitIndex } = replicaOf(world);
  if (state !== ReplicaState.Leader) return;
  const ownIndex = syncedIndexOf(world);
  const indices = [...world.members.rows()].map((row) => (row.isSelf ? ownIndex : row.matchIndex));
  const quorumIndex = computeQuorumValue(world, indices);
  if (quorumIndex > commitIndex && termAt(world, quorumIndex) === term) {
    changeReplica(world, { commitIndex: quorumIndex });
  }
};

/** Extends the lease, counted from the sending of the renewals that a quorum has answered. */
export const extendLease = (world: World, now: Instant): void => {
  if (replicaOf(world).state !== ReplicaState.Leader) return;
  const instants = [...world.members.rows()].map((row) => (row.isSelf ? now : row.renewedAt));
  const renewedAt = computeQuorumValue(world, instants);
  if (renewedAt === Number.NEGATIVE_INFINITY) return;
  changeReplica(world, {
    leaseDeadline: deadlineAfter(renewedAt, leaseDurationMilliseconds),
    electionDeadline: deadlineAfter(renewedAt, minimumElectionTimeoutMilliseconds),
  });
};

const renewOwnLease = (world: World, now: Instant): void => {
  const self = [...world.members.rows()].find((member) => member.isSelf)!;
  const renewalDeadline = deadlineAfter(now, leaseRenewalIntervalMilliseconds);
  world.members.change(self.id, { renewalDeadline });
  extendLease(world, now);
};

/** Sends new entries and commit indices to the other voters, and renews the lease when due. */
export const replicate = (world: World, now: Instant): void => {
  const due = world.members.takeDue('renewal', now);
  const behind = world.members.takeDue('catchUp', now);
  if (replicaOf(world).state !== ReplicaState.Leader) return;
  behind.forEach((member) => reportBehind(world, member, now));
  const dueMemberIds = new Set(due.map(({ id }) => id));
  const { commitIndex } = replicaOf(world);
  otherMembers(world).forEach((member) => {
    const batch = selectEntriesFor(world, member);
    const isDue = dueMemberIds.has(member.id) || member.sentCommitIndex < commitIndex;
    if (isDue || batch.rows.length > 0) sendEntries(world, member, batch, now);
    if (isDue && !canContinueFrom(world, member.nextIndex - 1)) offerSnapshot(world, member.id);
  });
  if (due.some((member) => member.isSelf)) renewOwnLease(world, now);
};

type Append = UnionMember<ConsensusMessage, 'entriesAppended'>;

const sendAppendAnswer = (
  world: World,
  append: Append,
  leader: DaemonRow,
  now: Instant,
  result: { readonly accepted: boolean; readonly matchIndex: number },
): void =>
  sendAfterSync(world, leader.id, {
    kind: 'appendAnswered',
    term: replicaOf(world).term,
    renewal: append.renewal,
    isNew: !replicaOf(world).hasJoined,
    answeredAt: createEchoedInstant(world, now),
    ...result,
  });

const recordLeader = (world: World, append: Append, leader: DaemonRow, now: Instant): void => {
  adoptHigherTerm(world, append.term, now);
  if (replicaOf(world).state !== ReplicaState.Follower) becomeFollower(world, now);
  changeReplica(world, {
    leader: leader.id,
    heardAt: now,
    voteRefusalLeader: leader.id,
    electionDeadline: nextElectionDeadline(world, now),
    voteRefusalDeadline: deadlineAfter(now, minimumElectionTimeoutMilliseconds),
  });
};

const storeNewEntries = (world: World, entries: readonly LogEntry[]): void => {
  // Committed entries are the same on all daemons, and may have been removed here.
  const { commitIndex } = replicaOf(world);
  const position = entries.findIndex(
    (entry) => entry.index > commitIndex && termAt(world, entry.index) !== entry.term,
  );
  if (position < 0) return;
  const stored = entries.slice(position);
  const isReplacingVoters = stored[0]!.index <= replicaOf(world).votersIndex;
  storeEntries(world, stored);
  const isChangingVoters = stored.some(({ command }) => command.kind === 'votersSet');
  if (isReplacingVoters || isChangingVoters) applyLoggedVoters(world);
};

const storeAppendedEntries = (world: World, append: Append): number => {
  storeNewEntries(world, append.entries);
  const appendedIndex = append.previousIndex + append.entries.length;
  const { commitIndex } = replicaOf(world);
  changeReplica(world, {
    commitIndex: Math.max(commitIndex, Math.min(append.commitIndex, appendedIndex)),
  });
  // Every later leader holds what is committed here, also if it came by a snapshot.
  return Math.max(appendedIndex, commitIndex);
};

const recordFreshness = (world: World, append: Append, now: Instant): void => {
  const { commitIndex, lastIndex, currentAsOf } = replicaOf(world);
  const confirmedAt = readEchoedInstant(world, append.currentAsOf, now);
  if (confirmedAt === undefined || commitIndex < append.commitIndex) return;
  if (lastIndex >= append.commitIndex) markJoined(world);
  changeReplica(world, { currentAsOf: Math.max(currentAsOf, confirmedAt) });
};

/** Handlers for the messages of replication. */
export const replicationHandlers: Pick<
  HandlerTable<ConsensusMessage, void, [World, DaemonRow, Instant]>,
  'entriesAppended' | 'appendAnswered'
> = {
  entriesAppended: (append, world, leader, now) => {
    if (replicaOf(world).state === ReplicaState.Learner && canVote(world)) becomeVoter(world, now);
    if (!isElectionParticipant(world)) return;
    const { term, lastIndex, commitIndex } = replicaOf(world);
    if (append.term < term) {
      sendAppendAnswer(world, append, leader, now, { accepted: false, matchIndex: 0 });
      return;
    }
    recordLeader(world, append, leader, now);
    if (termAt(world, append.previousIndex) !== append.previousTerm) {
      const matchIndex = lastIndex < append.previousIndex ? lastIndex : commitIndex;
      sendAppendAnswer(world, append, leader, now, { accepted: false, matchIndex });
      return;
    }
    const matchIndex = storeAppendedEntries(world, append);
    recordFreshness(world, append, now);
    sendAppendAnswer(world, append, leader, now, { accepted: true, matchIndex });
  },
  appendAnswered: (answered, world, voter, now) => {
    adoptHigherTerm(world, answered.term, now);
    const member = world.members.get(voter.id);
    const { state, term } = replicaOf(world);
    if (member === undefined || state !== ReplicaState.Leader || answered.term !== term) return;
    const renewedAt = readEchoedInstant(world, answered.renewal, now);
    const progress = computeProgress(world, member, answered, now);
    // A voter that lacks removed entries refuses all others until it has a snapshot.
    const isRetriedAtOnce = !answered.accepted && canContinueFrom(world, progress.nextIndex - 1);
    world.members.change(voter.id, {
      ...progress,
      renewedAt: Math.max(member.renewedAt, renewedAt ?? Number.NEGATIVE_INFINITY),
      answeredAt: answered.answeredAt,
      renewalDeadline: isRetriedAtOnce ? now : member.renewalDeadline,
    });
    extendLease(world, now);
  },
};
