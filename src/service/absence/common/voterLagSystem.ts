/**
 * Reports, at the leader, the voters that it cannot count on: silent, not joined, or without an entry
 * that was accepted a while ago. So an operator knows when a second disk may be lost. It looks at the
 * voters at intervals, not on each tick, and only records events.
 */
import {
  deadlineAfter,
  millisecondsPerSecond,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import type { EventSubject } from '../../../infrastructure/timeline/common/timelineEvent.js';
import {
  leaseDurationMilliseconds,
  maximumFailoverMilliseconds,
} from '../../consensus/common/consensusTiming.js';
import { otherMembers } from '../../consensus/common/election.js';
import { canContinueFrom, replicaOf } from '../../consensus/common/replicaLog.js';
import { ReplicaState, type MemberRow } from '../../consensus/common/replicaTables.js';
import { findStatement } from '../../consensus/common/voterStatements.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { reportIntervalMilliseconds } from './absenceSystem.js';
import {
  countCurrentVoters,
  currentVoterRow,
  voterSurveyId,
  type VoterLagRow,
} from './voterLagTables.js';

/** Interval at which the leader looks at its voters: twice that of renewals, a tenth of a report's. */
export const surveyIntervalMilliseconds: Milliseconds = 500;

const lagRowOf = (world: World, { id }: MemberRow): VoterLagRow =>
  world.voterLags.get(id) ?? currentVoterRow(id);

/** Whether a voter has answered a renewal that is recent enough for the lease. */
const isAnswering = ({ renewedAt }: MemberRow, now: Instant): boolean =>
  now < deadlineAfter(renewedAt, leaseDurationMilliseconds);

const isLagging = (world: World, member: MemberRow, now: Instant): boolean => {
  const { lagsSince, targetIndex } = lagRowOf(world, member);
  // Under load, a voter is always a round trip behind: what counts is an entry that it lacks for long.
  const neededIndex = lagsSince === never ? replicaOf(world).commitIndex : targetIndex;
  const hasJoined = findStatement(world, member.id, now)?.hasJoined === true;
  return !isAnswering(member, now) || !hasJoined || member.matchIndex < neededIndex;
};

/** Describes how many of the voters are current, this daemon included, as `CURRENT/ALL`. */
const describeCurrentVoters = (world: World): string =>
  `${1 + countCurrentVoters(world)}/${world.members.size()}`;

const describeLag = (world: World, member: MemberRow, now: Instant): EventSubject => {
  const { matchIndex, nextIndex, unacknowledgedBytes } = member;
  const { sampledIndex, sampledAt } = lagRowOf(world, member);
  const added = Math.max(0, matchIndex - sampledIndex);
  return {
    voter: member.id,
    holds: matchIndex,
    of: replicaOf(world).lastIndex,
    hasJoined: findStatement(world, member.id, now)?.hasJoined ?? null,
    answers: isAnswering(member, now),
    needsSnapshot: !canContinueFrom(world, nextIndex - 1),
    perSecond: Number.isFinite(sampledAt)
      ? Math.round((added * millisecondsPerSecond * 10) / (now - sampledAt)) / 10
      : null,
    current: describeCurrentVoters(world),
    unacknowledgedBytes,
  };
};

/** Returns since when a voter lags; one that has not joined may have said so before. */
const findLagStart = (world: World, member: MemberRow, now: Instant): Instant =>
  Math.min(now, findStatement(world, member.id, now)?.notJoinedSince ?? now);

const startLag = (world: World, member: MemberRow, now: Instant): void => {
  world.voterLags.put({
    ...lagRowOf(world, member),
    lagsSince: findLagStart(world, member, now),
    targetIndex: replicaOf(world).commitIndex,
    sampledAt: Number.NEGATIVE_INFINITY,
  });
};

const endLag = (world: World, member: MemberRow, now: Instant): void => {
  const { lagsSince, isReported, ...row } = lagRowOf(world, member);
  world.voterLags.put({ ...row, lagsSince: never, isReported: false });
  if (!isReported) return;
  world.events.append({
    kind: EventKind.VoterCaughtUp,
    subject: {
      laggedForMilliseconds: Math.round(now - lagsSince),
      voter: member.id,
      holds: member.matchIndex,
      of: replicaOf(world).lastIndex,
      current: describeCurrentVoters(world),
    },
  });
};

/** Time for which a lag is usual: none, once a voter has said that it has not joined. */
const computeUsualMilliseconds = (world: World, member: MemberRow, now: Instant): Milliseconds =>
  findStatement(world, member.id, now)?.hasJoined === false ? 0 : maximumFailoverMilliseconds;

const isReportDue = (world: World, member: MemberRow, now: Instant): boolean => {
  const { lagsSince, quietDeadline } = lagRowOf(world, member);
  const usualMilliseconds = computeUsualMilliseconds(world, member, now);
  return now >= quietDeadline && now >= deadlineAfter(lagsSince, usualMilliseconds);
};

const reportLag = (world: World, member: MemberRow, now: Instant): void => {
  const row = lagRowOf(world, member);
  const forMilliseconds = Math.round(now - row.lagsSince);
  const subject = { forMilliseconds, ...describeLag(world, member, now) };
  world.events.append({ kind: EventKind.VoterLagging, subject });
  world.voterLags.put({
    ...row,
    isReported: true,
    quietDeadline: deadlineAfter(now, reportIntervalMilliseconds),
    sampledIndex: member.matchIndex,
    sampledAt: now,
  });
};

const surveyVoter = (world: World, member: MemberRow, now: Instant): void => {
  const { lagsSince } = world.voterLags.put(lagRowOf(world, member));
  const isNowLagging = isLagging(world, member, now);
  if (isNowLagging && lagsSince === never) startLag(world, member, now);
  if (!isNowLagging && lagsSince !== never) endLag(world, member, now);
};

const removeRows = (world: World, isKept: (row: VoterLagRow) => boolean): void =>
  [...world.voterLags.rows()]
    .filter((row) => !isKept(row))
    .forEach(({ id }) => world.voterLags.remove(id));

const surveyVoters = (world: World, now: Instant): void => {
  const surveyDeadline = deadlineAfter(now, surveyIntervalMilliseconds);
  world.voterSurveys.put({ id: voterSurveyId, surveyDeadline });
  removeRows(world, ({ id }) => world.members.has(id));
  const others = otherMembers(world);
  others.forEach((member) => surveyVoter(world, member, now));
  others
    .filter((member) => isReportDue(world, member, now))
    .forEach((member) => reportLag(world, member, now));
};

/** Creates the system that reports voters that lag. */
export const createVoterLagSystem = (world: World): System => ({
  name: 'voterLag',
  run: (now) => {
    const isDue = world.voterSurveys.takeDue('survey', now).length > 0;
    const isSurveying = world.voterSurveys.has(voterSurveyId);
    if (replicaOf(world).state === ReplicaState.Leader) {
      if (isDue || !isSurveying) surveyVoters(world, now);
    } else if (isSurveying) {
      world.voterSurveys.remove(voterSurveyId);
      removeRows(world, () => false);
    }
  },
});
