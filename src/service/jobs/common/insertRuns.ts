/**
 * Creates the runs of the items of a job that have no listed result yet. A run starts from the
 * beginning, or continues the replicated text of this job or of an earlier one.
 */
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { findRoute } from '../../declaration/common/findRoute.js';
import type { World } from '../../world/common/world.js';
import { findPartialText, findCompleteText } from './textReuse.js';
import { RunState, type JobItemRow, type JobRow, type RunRow } from './jobTables.js';
import { maximumEventsOf } from './outputLimit.js';
import { emptyTextColumns } from './runChanges.js';
import { saveIntervalMilliseconds } from './saveTexts.js';
import { startScoring } from './scoring.js';
import { spareGroupsOf } from './spareGroups.js';

/**
 * The lifetime counts from the submission by the wall clock of the entry. A wall clock that was set
 * back here since must not lengthen it, so a submission counts as at the latest now.
 */
const lifetimeDeadlineOf = (world: World, job: JobRow, now: Instant): Instant => {
  const route = findRoute(world, job.host, job.path);
  if (route === undefined || route.itemLifetimeMilliseconds === null) return never;
  const age = Math.max(0, world.wallNow() - job.submittedAt);
  return deadlineAfter(now, route.itemLifetimeMilliseconds - age);
};

/**
 * Returns the columns of the text that a run continues, and how much of it is saved in this job. A
 * text of an unknown software version, or with more events than the item can have, is not continued.
 */
const initialTextOf = (
  world: World,
  job: JobRow,
  item: JobItemRow,
): Pick<RunRow, keyof typeof emptyTextColumns> => {
  if (item.saved !== null) {
    const { events, text, softwareVersion } = item.saved;
    if (softwareVersion === undefined || events > maximumEventsOf(item)) return emptyTextColumns;
    const saved = { savedEvents: events, savedCharacters: text.length };
    return { ...emptyTextColumns, ...item.saved, softwareVersion, ...saved };
  }
  return { ...emptyTextColumns, ...findPartialText(world, job, item) };
};

interface JobRunDefaults {
  readonly job: JobRow;
  readonly lifetimeDeadline: Instant;
  readonly spareGroups: ReadonlySet<string>;
}

const insertRun = (
  world: World,
  item: JobItemRow,
  { job, lifetimeDeadline, spareGroups }: JobRunDefaults,
  now: Instant,
): void => {
  const run = world.runs.put({
    id: item.id,
    job: item.job,
    group: item.group,
    isSpare: spareGroups.has(item.group),
    state: RunState.Waiting,
    start: 0,
    upstream: null,
    engineStartedAt: Number.NEGATIVE_INFINITY,
    continuedEvents: 0,
    expectedVersion: null,
    ...initialTextOf(world, job, item),
    saveDeadline: deadlineAfter(now, saveIntervalMilliseconds),
    failures: 0,
    inconclusiveAnswers: 0,
    backoffDeadline: now,
    continuationDeadline: never,
    lastProgressAt: Number.NEGATIVE_INFINITY,
    progressDeadline: never,
    permitDeadline: never,
    lifetimeDeadline,
    call: null,
    scoreFailures: 0,
    scoreRetryDeadline: never,
  });
  const completeText = findCompleteText(world, job, item);
  if (completeText === undefined) return;
  const { text, versions } = completeText;
  startScoring(world, world.runs.change(run.id, { text, versions })!);
};

/** Inserts a run for each unlisted item of a job that has none. */
export const insertRuns = (world: World, job: JobRow, now: Instant): void => {
  const itemsWithoutRun = world.jobItems
    .where('unlisted', job.id)
    .filter(({ id }) => !world.runs.has(id));
  if (itemsWithoutRun.length === 0) return;
  const defaults: JobRunDefaults = {
    job,
    lifetimeDeadline: lifetimeDeadlineOf(world, job, now),
    spareGroups: spareGroupsOf(world, job),
  };
  itemsWithoutRun.forEach((item) => insertRun(world, item, defaults, now));
};
