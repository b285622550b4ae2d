/**
 * Reports what a daemon cannot serve without: on control daemons a leader, and the entries without
 * which their vote does not count; on all daemons a declaration that counts as up to date. An
 * absence is reported once it has lasted for a while, then at intervals, and so is its end. The
 * system only records events; it reads a few rows on each tick and looks at all daemons only when a
 * report is due.
 */
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import type { EventSubject } from '../../../infrastructure/timeline/common/timelineEvent.js';
import { leadershipOf } from '../../consensus/common/lease.js';
import { maximumFailoverMilliseconds } from '../../consensus/common/consensusTiming.js';
import { resetJoinProgress, sampleJoinProgress } from '../../consensus/common/joinProgress.js';
import { isLeaderKnown } from '../../consensus/common/leaderAbsence.js';
import { canVote } from '../../consensus/common/voters.js';
import { declarationId } from '../../declaration/common/declarationTables.js';
import { isDeclarationFresh } from '../../declaration/common/findRoute.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import {
  absenceOf,
  AbsenceKind,
  computeMissingMilliseconds,
  presentColumns,
  type AbsenceRow,
} from './absenceTables.js';
import {
  describeConfiguration,
  describeLeader,
  describeMissingConfiguration,
  describeMissingLeader,
} from './absenceSubjects.js';
import { describeJoined, describeNotJoined, hasNotJoined } from './joinSubjects.js';

/**
 * Shortest interval between two reports of the same kind. Some 100 bytes a second, of the 3 KB a
 * second that a daemon may spend on control, and two lines within `recoveryS` of the users'
 * requirements.
 */
export const reportIntervalMilliseconds: Milliseconds = 5_000;

/** How the absence of one thing is recognised and reported. */
interface Watch {
  readonly isWatched: (world: World) => boolean;
  readonly isMissing: (world: World, now: Instant) => boolean;
  /** Returns since when it is missing, if it was there at the last tick. */
  readonly findStart: (world: World, now: Instant) => Instant;
  /** Time for which an absence is usual. */
  readonly usualMilliseconds: (world: World) => Milliseconds;
  readonly missingEvent: EventKind;
  readonly foundEvent: EventKind;
  readonly describeMissing: (world: World, now: Instant) => EventSubject;
  readonly describeFound: (world: World) => EventSubject;
  /** Remembers what the next report compares with; called at the start and after each report. */
  readonly recordStart?: (world: World) => void;
  readonly recordReport?: (world: World, now: Instant) => void;
}

const findStalenessStart = (world: World, now: Instant): Instant => {
  const { freshnessDeadline } = leadershipOf(world);
  const isOutdated = world.declarations.has(declarationId) && Number.isFinite(freshnessDeadline);
  return isOutdated ? Math.min(freshnessDeadline, now) : now;
};

const watches: Readonly<Record<AbsenceKind, Watch>> = {
  leader: {
    isWatched: canVote,
    isMissing: (world, now) => !isLeaderKnown(world, now),
    findStart: (_world, now) => now,
    usualMilliseconds: () => maximumFailoverMilliseconds,
    missingEvent: EventKind.LeaderMissing,
    foundEvent: EventKind.LeaderFound,
    describeMissing: describeMissingLeader,
    describeFound: describeLeader,
  },
  configuration: {
    isWatched: () => true,
    isMissing: (world, now) => !isDeclarationFresh(world, now),
    findStart: findStalenessStart,
    // A declaration that is held counts as up to date for longer than a change of leaders takes.
    usualMilliseconds: (world) =>
      world.declarations.has(declarationId) ? 0 : maximumFailoverMilliseconds,
    missingEvent: EventKind.ConfigurationMissing,
    foundEvent: EventKind.ConfigurationFound,
    describeMissing: describeMissingConfiguration,
    describeFound: describeConfiguration,
  },
  joining: {
    isWatched: canVote,
    isMissing: hasNotJoined,
    findStart: (_world, now) => now,
    // A second disk must not be lost from the first moment on.
    usualMilliseconds: () => 0,
    missingEvent: EventKind.NotJoined,
    foundEvent: EventKind.Joined,
    describeMissing: describeNotJoined,
    describeFound: describeJoined,
    recordStart: resetJoinProgress,
    recordReport: sampleJoinProgress,
  },
};

const startAbsence = (world: World, row: AbsenceRow, now: Instant): void => {
  const { findStart, usualMilliseconds, recordStart } = watches[row.kind];
  recordStart?.(world);
  const missingSince = findStart(world, now);
  const usualDeadline = deadlineAfter(missingSince, usualMilliseconds(world));
  world.absences.put({
    ...row,
    missingSince,
    reportDeadline: Math.max(usualDeadline, row.quietDeadline),
  });
};

const endAbsence = (world: World, row: AbsenceRow, now: Instant): void => {
  const { foundEvent, describeFound } = watches[row.kind];
  if (row.isReported) {
    const missedForMilliseconds = computeMissingMilliseconds(world, row.kind, now);
    const subject = { missedForMilliseconds, ...describeFound(world) };
    world.events.append({ kind: foundEvent, subject });
  }
  world.absences.put({ ...row, ...presentColumns });
};

const updateAbsence = (world: World, kind: AbsenceKind, now: Instant): void => {
  const { isWatched, isMissing } = watches[kind];
  const row = absenceOf(world, kind);
  const isKnownMissing = row.missingSince !== never;
  const isNowMissing = isWatched(world) && isMissing(world, now);
  if (isNowMissing && !isKnownMissing) startAbsence(world, row, now);
  if (!isNowMissing && isKnownMissing) endAbsence(world, row, now);
};

const reportAbsence = (world: World, { id, kind }: AbsenceRow, now: Instant): void => {
  const { missingEvent, describeMissing, recordReport } = watches[kind];
  const forMilliseconds = computeMissingMilliseconds(world, kind, now);
  const subject = { forMilliseconds, ...describeMissing(world, now) };
  world.events.append({ kind: missingEvent, subject });
  recordReport?.(world, now);
  const nextDeadline = deadlineAfter(now, reportIntervalMilliseconds);
  world.absences.change(id, {
    isReported: true,
    reportDeadline: nextDeadline,
    quietDeadline: nextDeadline,
  });
};

/** Creates the system that reports what this daemon lacks. */
export const createAbsenceSystem = (world: World): System => ({
  name: 'absence',
  run: (now) => {
    Object.values(AbsenceKind).forEach((kind) => updateAbsence(world, kind, now));
    world.absences.takeDue('report', now).forEach((row) => reportAbsence(world, row, now));
  },
});
