/**
 * Progress of the other voters, as the leader tracks it: what is under way to each, what it has
 * acknowledged, and whether it falls behind.
 */
import type { UnionMember } from '../../../base/common/handlers.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { Batch } from '../../../infrastructure/wire/common/frameLimits.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage } from './consensusMessages.js';
import { catchUpReportMilliseconds } from './consensusTiming.js';
import { computeEntryBytes, emptyBatch, entryRowsBetween, selectEntryBatch } from './entryBatch.js';
import { canContinueFrom, replicaOf } from './replicaLog.js';
import type { LogEntryRow, MemberRow } from './replicaTables.js';

/**
 * Selects the entries for the next message to a member; none if it must first acknowledge some, or
 * lacks entries that this daemon has removed.
 */
export const selectEntriesFor = (world: World, member: MemberRow): Batch<LogEntryRow> =>
  canContinueFrom(world, member.nextIndex - 1)
    ? selectEntryBatch(
        entryRowsBetween(world, member.nextIndex, replicaOf(world).lastIndex),
        member.unacknowledgedBytes,
      )
    : emptyBatch;

/** Reports a voter that lacks entries and has acknowledged none of them for a while. */
export const reportBehind = (world: World, member: MemberRow, now: Instant): void => {
  const { lastIndex } = replicaOf(world);
  const { id, matchIndex, unacknowledgedBytes } = member;
  world.members.change(id, { catchUpDeadline: deadlineAfter(now, catchUpReportMilliseconds) });
  world.metrics.count('consensus.votersBehind');
  world.events.append({
    kind: EventKind.VoterBehind,
    subject: { voter: id, matchIndex, lastIndex, unacknowledgedBytes },
  });
};

type AppendAnswer = UnionMember<ConsensusMessage, 'appendAnswered'>;

type Progress = Pick<
  MemberRow,
  'matchIndex' | 'nextIndex' | 'acknowledgedIndex' | 'unacknowledgedBytes' | 'catchUpDeadline'
>;

/** Returns the columns of a member that has all entries up to `matchIndex`. */
const computeAcceptedProgress = (
  world: World,
  member: MemberRow,
  matchIndex: number,
  now: Instant,
): Progress => {
  const acknowledgedIndex = Math.max(member.acknowledgedIndex, matchIndex);
  const acknowledgedBytes = computeEntryBytes(
    world,
    member.acknowledgedIndex + 1,
    acknowledgedIndex,
  );
  const hasProgressed = matchIndex > member.matchIndex;
  const isBehind = matchIndex < member.nextIndex - 1;
  const reportDeadline = hasProgressed
    ? deadlineAfter(now, catchUpReportMilliseconds)
    : member.catchUpDeadline;
  return {
    matchIndex: Math.max(member.matchIndex, matchIndex),
    nextIndex: Math.max(member.nextIndex, matchIndex + 1),
    acknowledgedIndex,
    // Entries may have been removed before they were acknowledged.
    unacknowledgedBytes: isBehind ? Math.max(0, member.unacknowledgedBytes - acknowledgedBytes) : 0,
    catchUpDeadline: isBehind ? reportDeadline : never,
  };
};

/** Returns the progress of a member that has answered. */
export const computeProgress = (
  world: World,
  member: MemberRow,
  { accepted, matchIndex, isNew }: AppendAnswer,
  now: Instant,
): Progress => {
  if (accepted) return computeAcceptedProgress(world, member, matchIndex, now);
  // A new voter has lost entries that it acknowledged. For other voters, a late refusal must not
  // lower the match index.
  const retainedIndex = isNew ? matchIndex : Math.max(member.matchIndex, matchIndex);
  return {
    matchIndex: Math.min(member.matchIndex, retainedIndex),
    nextIndex: retainedIndex + 1,
    acknowledgedIndex: retainedIndex,
    unacknowledgedBytes: 0,
    catchUpDeadline: member.catchUpDeadline,
  };
};
