/**
 * The subjects of reports on what is missing: enough of what this daemon knows to tell the cause
 * from its log alone. Short values come first, as some collectors cut lines. They are computed only
 * when a report is due, since they look at all daemons.
 */
import type { Instant } from '../../../base/common/time.js';
import type { EventSubject } from '../../../infrastructure/timeline/common/timelineEvent.js';
import { leadershipOf } from '../../consensus/common/lease.js';
import {
  describeLeaderAbsence,
  describeLastIndices,
  describeNotJoinedVoters,
  describeVoters,
} from '../../consensus/common/leaderAbsence.js';
import { quorumSize } from '../../consensus/common/election.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { findRecentVoteAnswer } from '../../consensus/common/votes.js';
import { VoteAnswer } from '../../consensus/common/voteRefusal.js';
import { declarationId } from '../../declaration/common/declarationTables.js';
import { DaemonState } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';

const noName = 'none';

/** Returns the time since an instant; null if there was none. */
const computeAge = (instant: Instant, now: Instant): number | null =>
  Number.isFinite(instant) ? Math.round(now - instant) : null;

/** Describes why this daemon may know no leader. */
export const describeMissingLeader = (world: World, now: Instant): EventSubject => {
  const { state, term, hasJoined, lastIndex, votersIndex, leaderAbsence } = replicaOf(world);
  const { requestedSequence, syncedSequence } = replicaOf(world);
  const answers = [...world.members.rows()]
    .filter(({ isSelf }) => !isSelf)
    .map((member) => findRecentVoteAnswer(member, now));
  return {
    state,
    hasJoined,
    notJoined: describeNotJoinedVoters(world, now),
    quorum: world.members.size() === 0 ? 0 : quorumSize(world),
    granted: answers.filter((answer) => answer === VoteAnswer.Granted).length,
    unsyncedWrites: requestedSequence - syncedSequence,
    term,
    lastIndex,
    votersIndex,
    voters: describeVoters(world, now),
    lastIndices: describeLastIndices(world, now),
    // What a candidate has told: a daemon that knows no voters knows of the others only by it.
    relayed: leaderAbsence ?? noName,
  };
};

/** Describes the leader that is known. */
export const describeLeader = (world: World): EventSubject => {
  const { term, leader, state } = replicaOf(world);
  return { leader: leader ?? noName, term, state };
};

const readDeclarationVersion = (world: World): number =>
  world.declarations.get(declarationId)?.version ?? 0;

const describeRelay = (world: World, now: Instant): EventSubject => {
  const { relay } = replicaOf(world);
  const daemon = relay === null ? undefined : world.daemons.get(relay);
  return {
    relay: relay ?? noName,
    relayState: daemon?.state ?? DaemonState.Unknown,
    relaySuspectedInMilliseconds:
      daemon === undefined ? null : Math.round(daemon.suspicionDeadline - now),
  };
};

const countControlDaemons = (world: World): EventSubject => {
  const control = [...world.daemons.rows()].filter(({ isControl, isSelf }) => isControl && !isSelf);
  const countOf = (wanted: DaemonState): number =>
    control.filter(({ state }) => state === wanted).length;
  return {
    controlKnown: control.length,
    controlAlive: countOf(DaemonState.Alive),
    controlSuspected: countOf(DaemonState.Suspected),
  };
};

/** Describes why this daemon may hold no declaration that counts as up to date. */
export const describeMissingConfiguration = (world: World, now: Instant): EventSubject => {
  const { state, leader, heardAt, currentAsOf } = replicaOf(world);
  return {
    declaration: readDeclarationVersion(world),
    leaderAbsence: describeLeaderAbsence(world, now) ?? noName,
    // It holds all entries there are, so that version 0 means that none was ever accepted.
    isLogCurrent: now < leadershipOf(world).freshnessDeadline,
    leader: leader ?? noName,
    state,
    heardMillisecondsAgo: computeAge(heardAt, now),
    currentMillisecondsAgo: computeAge(currentAsOf, now),
    ...countControlDaemons(world),
    ...describeRelay(world, now),
  };
};

/** Describes the declaration that is there. */
export const describeConfiguration = (world: World): EventSubject => ({
  declaration: readDeclarationVersion(world),
  leader: replicaOf(world).leader ?? noName,
  relay: replicaOf(world).relay ?? noName,
});
