/**
 * Replication to learners. A daemon without a vote follows one nearby daemon, which sends it
 * committed entries as they are committed. Daemons with the role `control` relay entries, so that
 * entries go from voters to the learners in each zone and from those to the other daemons of the
 * zone.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable, UnionMember } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { maximumUnacknowledgedBytes } from '../../../infrastructure/wire/common/frameLimits.js';
import { distanceTo } from '../../membership/common/contacts.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import { createEchoedInstant, readEchoedInstant } from '../../world/common/echoedInstant.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage } from './consensusMessages.js';
import {
  followIntervalMilliseconds,
  relayTimeoutMilliseconds,
  learnerTimeoutMilliseconds,
  resendDelayMilliseconds,
} from './consensusTiming.js';
import {
  computeLearnerProgress,
  needsSnapshot,
  selectLearnerBatch,
  type LearnerBatch,
} from './learnerProgress.js';
import type { LogEntry } from './logEntry.js';
import {
  changeReplica,
  hasFullLog,
  putEntry,
  replicaOf,
  termAt,
  toLogEntry,
} from './replicaLog.js';
import { describeLeaderAbsence } from './leaderAbsence.js';
import { isCurrentLeader, ReplicaState, type FollowingLearnerRow } from './replicaTables.js';
import { offerSnapshot } from './snapshotTransfer.js';

const relayCandidatesOf = (world: World): DaemonRow[] => {
  const isRelayCandidate = (row: DaemonRow): boolean =>
    !row.isSelf && row.isContact && (hasFullLog(world) ? row.isVoter : row.isControl);
  return [...world.daemons.rows()].filter(isRelayCandidate);
};

/**
 * Selects a random daemon among the nearest ones that are not suspected. The current relay is
 * selected again only if there is no other candidate.
 */
const selectRelay = (world: World): DaemonId | null => {
  const { relay } = replicaOf(world);
  const reachable = relayCandidatesOf(world).filter((row) => row.state !== DaemonState.Suspected);
  const alternatives = reachable.filter((row) => row.id !== relay);
  const candidates = alternatives.length > 0 ? alternatives : reachable;
  const minimumDistance = Math.min(...candidates.map((row) => distanceTo(world, row)));
  const nearestCandidates = candidates.filter((row) => distanceTo(world, row) === minimumDistance);
  return (
    nearestCandidates[world.random.nextInteger(Math.max(1, nearestCandidates.length))]?.id ?? null
  );
};

const ensureRelay = (world: World, now: Instant): DaemonId | null => {
  const { relay, relayDeadline } = replicaOf(world);
  if (relay !== null && now < relayDeadline) return relay;
  const selected = selectRelay(world);
  changeReplica(world, {
    relay: selected,
    relayDeadline: deadlineAfter(now, relayTimeoutMilliseconds),
  });
  return selected;
};

/** Sends a due request for entries to the daemon that this learner follows. */
export const sendFollowRequest = (world: World, now: Instant): void =>
  world.replica.takeDue('follow', now).forEach(({ state }) => {
    if (state !== ReplicaState.Learner) return;
    const to = ensureRelay(world, now);
    const { commitIndex } = replicaOf(world);
    changeReplica(world, { followDeadline: deadlineAfter(now, followIntervalMilliseconds) });
    if (to === null) return;
    world.outgoingMessages.append({
      to,
      message: {
        kind: 'followRequested',
        afterIndex: commitIndex,
        isRelay: hasFullLog(world),
        askedAt: createEchoedInstant(world, now),
      },
    });
  });

const stalenessOf = (world: World, now: Instant): number | null => {
  const replica = replicaOf(world);
  if (isCurrentLeader(replica, now)) return 0;
  const { currentAsOf } = replica;
  return Number.isFinite(currentAsOf) ? now - currentAsOf : null;
};

/** Unacknowledged bytes from which a learner acknowledges before its next usual request. */
const acknowledgementThresholdBytes = maximumUnacknowledgedBytes / 2;

const sendLearnerBatch = (
  world: World,
  learner: FollowingLearnerRow,
  { rows, bytes, throughIndex }: LearnerBatch,
  now: Instant,
): void => {
  const { term, leader, deliveredIndex, commitIndex } = replicaOf(world);
  const unacknowledgedBytes = learner.unacknowledgedBytes + bytes;
  world.outgoingMessages.append({
    to: learner.id,
    message: {
      kind: 'entriesFollowed',
      term,
      leader,
      afterIndex: learner.sentIndex,
      entries: rows.map(toLogEntry),
      throughIndex,
      isAcknowledgementDue:
        throughIndex < deliveredIndex || unacknowledgedBytes > acknowledgementThresholdBytes,
      askedAt: learner.askedAt,
      // A partial batch has no age, because it does not include the latest entries. A relay that
      // is behind its learner may know of committed entries that it has not delivered yet.
      age: throughIndex >= Math.max(deliveredIndex, commitIndex) ? stalenessOf(world, now) : null,
      leaderAbsence: describeLeaderAbsence(world, now),
      deliveredIndex,
    },
  });
  world.followingLearners.change(learner.id, {
    sentIndex: throughIndex,
    unacknowledgedBytes,
    resendDeadline:
      learner.sentIndex === learner.acknowledgedIndex
        ? deadlineAfter(now, resendDelayMilliseconds)
        : learner.resendDeadline,
  });
};

/** Sends entries as long as the learner need not acknowledge earlier ones first. */
const sendPendingEntries = (world: World, id: DaemonId, now: Instant): void => {
  for (;;) {
    const learner = world.followingLearners.get(id)!;
    const batch = selectLearnerBatch(world, learner);
    if (batch.throughIndex === learner.sentIndex) return;
    sendLearnerBatch(world, learner, batch, now);
  }
};

/** Removes learners that timed out, and sends new committed entries to the others. */
export const replicateToLearners = (world: World, now: Instant): void => {
  world.followingLearners.takeDue('silence', now).forEach(({ id }) => {
    world.followingLearners.remove(id);
  });
  [...world.followingLearners.rows()].forEach(({ id }) => sendPendingEntries(world, id, now));
};

type FollowedEntries = UnionMember<ConsensusMessage, 'entriesFollowed'>;

const deliverEntry = (world: World, entry: LogEntry): void => {
  if (hasFullLog(world)) {
    const { encodedBytes } = putEntry(world, entry);
    const { bytesSinceSnapshot } = replicaOf(world);
    changeReplica(world, { bytesSinceSnapshot: bytesSinceSnapshot + encodedBytes });
  }
  world.committedEntries.append({ ...entry, proposal: asBrand(entry.proposal) });
};

const applyFollowedEntries = (world: World, followed: FollowedEntries): void => {
  const { commitIndex, lastTerm } = replicaOf(world);
  followed.entries
    .filter((entry) => entry.index > commitIndex)
    .forEach((entry) => deliverEntry(world, entry));
  const throughIndex = Math.max(commitIndex, followed.throughIndex);
  changeReplica(world, {
    commitIndex: throughIndex,
    deliveredIndex: throughIndex,
    lastIndex: throughIndex,
    lastTerm: termAt(world, throughIndex) ?? lastTerm,
  });
};

/** Returns the time at which this learner was known to be current, or negative infinity. */
const confirmationOf = (world: World, { age, askedAt }: FollowedEntries, now: Instant): Instant => {
  const echoed = readEchoedInstant(world, askedAt, now);
  return age === null || echoed === undefined ? Number.NEGATIVE_INFINITY : echoed - age;
};

/**
 * Keeps the relay that confirms this learner as current, or from which it catches up. A relay that
 * answers but is itself disconnected from the leader has nothing more to send, and times out. A
 * learner that catches up asks for more at once.
 */
const extendRelay = (
  world: World,
  { isAcknowledgementDue, throughIndex }: FollowedEntries,
  confirmedAt: Instant,
  previousIndex: number,
  now: Instant,
): void => {
  const { relayDeadline, followDeadline } = replicaOf(world);
  const isCatchingUp = isAcknowledgementDue && throughIndex > previousIndex;
  const keptAsOf = isCatchingUp ? now : confirmedAt;
  changeReplica(world, {
    relayDeadline: Math.max(relayDeadline, deadlineAfter(keptAsOf, relayTimeoutMilliseconds)),
    followDeadline: isCatchingUp ? now : followDeadline,
  });
};

/** Handlers for the messages between a learner and the daemon that it follows. */
export const followHandlers: Pick<
  HandlerTable<ConsensusMessage, void, [World, DaemonRow, Instant]>,
  'followRequested' | 'entriesFollowed'
> = {
  followRequested: (request, world, sender, now) => {
    if (!hasFullLog(world)) return;
    const existing = world.followingLearners.get(sender.id);
    const learner = world.followingLearners.put({
      ...computeLearnerProgress(world, existing, request, now),
      id: sender.id,
      isRelay: request.isRelay,
      askedAt: request.askedAt,
      silenceDeadline: deadlineAfter(now, learnerTimeoutMilliseconds),
    });
    sendLearnerBatch(world, learner, selectLearnerBatch(world, learner), now);
    if (needsSnapshot(world, learner.sentIndex)) offerSnapshot(world, sender.id);
  },
  entriesFollowed: (followed, world, sender, now) => {
    const { state, relay, commitIndex, term, votedFor, currentAsOf, leaderAbsence } =
      replicaOf(world);
    if (state !== ReplicaState.Learner || sender.id !== relay) return;
    if (followed.afterIndex > commitIndex) return;
    applyFollowedEntries(world, followed);
    const confirmedAt = confirmationOf(world, followed, now);
    extendRelay(world, followed, confirmedAt, commitIndex, now);
    changeReplica(world, {
      term: Math.max(term, followed.term),
      votedFor: followed.term > term ? null : votedFor,
      leader: followed.leader === null ? null : asBrand<DaemonId>(followed.leader),
      currentAsOf: Math.max(currentAsOf, confirmedAt),
      heardAt: now,
      // A relay that hears nothing still names the last leader, and says with it what is amiss.
      leaderAbsence: followed.leaderAbsence ?? (followed.leader === null ? leaderAbsence : null),
    });
  },
};
