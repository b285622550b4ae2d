/**
 * Progress of the learners that follow this daemon: which entries each one receives, what is under
 * way to it, and what has to be sent again.
 */
import type { UnionMember } from '../../../base/common/handlers.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { Batch } from '../../../infrastructure/wire/common/frameLimits.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { Topic, topicOfCommand } from './command.js';
import type { ConsensusMessage } from './consensusMessages.js';
import { resendDelayMilliseconds } from './consensusTiming.js';
import { emptyBatch, entryRowsBetween, selectEntryBatch } from './entryBatch.js';
import type { LogEntry } from './logEntry.js';
import { replicaOf } from './replicaLog.js';
import type { FollowingLearnerRow, LogEntryRow } from './replicaTables.js';

const shouldReceive = (learner: FollowingLearnerRow, entry: LogEntry): boolean =>
  learner.isRelay ||
  (entry.origin === learner.id && topicOfCommand[entry.command.kind] === Topic.Control) ||
  topicOfCommand[entry.command.kind] === Topic.Configuration;

/** Yields the rows of entries from `first` to `last` inclusive that a learner receives. */
function* receivedRowsBetween(
  world: World,
  learner: FollowingLearnerRow,
  first: number,
  last: number,
): Generator<LogEntryRow, void, undefined> {
  for (const row of entryRowsBetween(world, first, last)) {
    if (shouldReceive(learner, row)) yield row;
  }
}

/** Entries for one message to a learner. */
export interface LearnerBatch extends Batch<LogEntryRow> {
  /** Index up to which the entries are all that the learner receives. */
  readonly throughIndex: number;
}

/** Whether a learner that has all entries up to an index lacks some that this daemon has removed. */
export const needsSnapshot = (world: World, index: number): boolean =>
  index < replicaOf(world).compactedIndex;

/**
 * Selects the next entries for a learner, and the index up to which they are all that it receives.
 * The index remains the same if the learner must first acknowledge earlier ones.
 */
export const selectLearnerBatch = (world: World, learner: FollowingLearnerRow): LearnerBatch => {
  const { deliveredIndex } = replicaOf(world);
  if (needsSnapshot(world, learner.sentIndex))
    return { ...emptyBatch, throughIndex: learner.sentIndex };
  const pending = receivedRowsBetween(world, learner, learner.sentIndex + 1, deliveredIndex);
  const batch = selectEntryBatch(pending, learner.unacknowledgedBytes);
  const lastSelected = batch.rows.at(-1)?.index ?? learner.sentIndex;
  const next = receivedRowsBetween(world, learner, lastSelected + 1, deliveredIndex).next();
  const throughIndex = next.done === true ? deliveredIndex : next.value.index - 1;
  return { ...batch, throughIndex: Math.max(learner.sentIndex, throughIndex) };
};

type FollowRequest = UnionMember<ConsensusMessage, 'followRequested'>;

/** Progress of a learner, without the identifier and the columns that each request replaces. */
type LearnerProgress = Pick<
  FollowingLearnerRow,
  'sentIndex' | 'acknowledgedIndex' | 'unacknowledgedBytes' | 'resendDeadline'
>;

/** Progress of a learner to which nothing has been sent after `afterIndex`. */
const createProgressFrom = (afterIndex: number): LearnerProgress => ({
  sentIndex: afterIndex,
  acknowledgedIndex: afterIndex,
  unacknowledgedBytes: 0,
  resendDeadline: never,
});

const acknowledgeEntries = (
  world: World,
  learner: FollowingLearnerRow,
  afterIndex: number,
  now: Instant,
): LearnerProgress => {
  const acknowledged = [
    ...receivedRowsBetween(world, learner, learner.acknowledgedIndex + 1, afterIndex),
  ];
  const acknowledgedBytes = acknowledged.reduce((sum, { encodedBytes }) => sum + encodedBytes, 0);
  return {
    sentIndex: learner.sentIndex,
    acknowledgedIndex: afterIndex,
    unacknowledgedBytes: Math.max(0, learner.unacknowledgedBytes - acknowledgedBytes),
    resendDeadline: deadlineAfter(now, resendDelayMilliseconds),
  };
};

/** Sends entries again from the one that a learner lacks. */
const resendEntries = (
  world: World,
  { id, sentIndex }: FollowingLearnerRow,
  afterIndex: number,
): LearnerProgress => {
  world.metrics.count('consensus.learnersBehind');
  world.events.append({
    kind: EventKind.LearnerBehind,
    subject: { learner: id, acknowledgedIndex: afterIndex, sentIndex },
  });
  return createProgressFrom(afterIndex);
};

/** Returns the progress of a learner that asks for the entries after the last one that it has. */
export const computeLearnerProgress = (
  world: World,
  learner: FollowingLearnerRow | undefined,
  { afterIndex }: FollowRequest,
  now: Instant,
): LearnerProgress => {
  // A learner that lacks entries which it had acknowledged has restarted.
  const isNew = learner === undefined || afterIndex < learner.acknowledgedIndex;
  if (isNew || afterIndex >= learner.sentIndex) return createProgressFrom(afterIndex);
  if (afterIndex > learner.acknowledgedIndex)
    return acknowledgeEntries(world, learner, afterIndex, now);
  return now < learner.resendDeadline ? learner : resendEntries(world, learner, afterIndex);
};
