/**
 * The subjects of reports on joining: how far this daemon is from holding every accepted entry, and
 * how fast it advances. What decides stands first, as some collectors cut lines at 200 characters.
 */
import {
  deadlineAfter,
  millisecondsPerSecond,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import type { EventSubject } from '../../../infrastructure/timeline/common/timelineEvent.js';
import { freshnessMilliseconds } from '../../consensus/common/consensusTiming.js';
import {
  countLackingEntries,
  describeIncomingParts,
  isNamedSpare,
  joinProgressOf,
} from '../../consensus/common/joinProgress.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { ReplicaState, type ReplicaRow } from '../../consensus/common/replicaTables.js';
import { joinMemberNames } from '../../consensus/common/voters.js';
import type { World } from '../../world/common/world.js';

/** Whether it is known in a state whether this daemon has joined: its disk has been read. */
const isJoiningKnown: Readonly<Record<ReplicaState, boolean>> = {
  recovering: false,
  learner: true,
  follower: true,
  preCandidate: true,
  candidate: true,
  leader: true,
  failed: true,
};

/** Whether this daemon is no voter of those that it knows, and follows them without delay. */
const isCurrentSpare = (world: World, { state, currentAsOf }: ReplicaRow, now: Instant): boolean =>
  state === ReplicaState.Learner &&
  isNamedSpare(world) &&
  now < deadlineAfter(currentAsOf, freshnessMilliseconds);

/** Whether this daemon may lack entries that were accepted, so that its vote does not count. */
export const hasNotJoined = (world: World, now: Instant): boolean => {
  const replica = replicaOf(world);
  return (
    isJoiningKnown[replica.state] && !replica.hasJoined && !isCurrentSpare(world, replica, now)
  );
};

const roundToTenth = (value: number): number => Math.round(value * 10) / 10;

/** Returns the entries per second since the last report; null at the first one. */
const computeSpeed = (world: World, now: Instant): number | null => {
  const { sampledIndex, sampledAt } = joinProgressOf(world);
  if (now <= sampledAt || !Number.isFinite(sampledAt)) return null;
  const added = replicaOf(world).lastIndex - sampledIndex;
  return roundToTenth((added * millisecondsPerSecond) / (now - sampledAt));
};

const computeTimeLeft = (lacking: number | null, speed: number | null): Milliseconds | null =>
  lacking === null || speed === null || speed <= 0
    ? null
    : Math.round((lacking * millisecondsPerSecond) / speed);

/** Describes how far this daemon is from joined. */
export const describeNotJoined = (world: World, now: Instant): EventSubject => {
  const { state, hasJoined, lastIndex, term, requestedSequence, syncedSequence } = replicaOf(world);
  const { from, reportedIndex, receivedEntries, receivedParts } = joinProgressOf(world);
  const speed = computeSpeed(world, now);
  return {
    holds: lastIndex,
    of: reportedIndex,
    parts: describeIncomingParts(world),
    perSecond: speed,
    from: from ?? 'none',
    state,
    hasJoined,
    leftMilliseconds: computeTimeLeft(countLackingEntries(world), speed),
    receivedEntries,
    receivedParts,
    unsyncedWrites: requestedSequence - syncedSequence,
    leader: replicaOf(world).leader ?? 'none',
    term,
    voters: joinMemberNames(world),
  };
};

/** Describes what this daemon has received until it had joined. */
export const describeJoined = (world: World): EventSubject => {
  const { state, hasJoined, lastIndex, term } = replicaOf(world);
  const { from, receivedEntries, receivedParts } = joinProgressOf(world);
  return {
    holds: lastIndex,
    receivedEntries,
    receivedParts,
    from: from ?? 'none',
    state,
    hasJoined,
    term,
  };
};
