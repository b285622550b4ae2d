/**
 * Gives the items of a job that are not listed their runs: from the start, or from what is agreed of their
 * texts in this job or an earlier one.
 */
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { findRoute } from '../../declaration/common/findRoute.js';
import type { World } from '../../world/common/world.js';
import { findBeginning, findWholeText } from './textReuse.js';
import { RunState, type JobItemRow, type JobRow, type RunRow } from './jobTables.js';
import { fromTheStart } from './runChanges.js';
import { saveMilliseconds } from './saveTexts.js';
import { beginScoring } from './scoring.js';
import { spareGroupsOf } from './spareGroups.js';

const lifeDeadlineOf = (world: World, job: JobRow, now: Instant): Instant => {
  const route = findRoute(world, job.host, job.path);
  if (route === undefined || route.itemLifetimeMilliseconds === null) return never;
  return now + (job.submittedAt + route.itemLifetimeMilliseconds - world.wallNow());
};

/** The text from which a run goes on, and how much of it this job has kept. */
const beginningOf = (
  world: World,
  job: JobRow,
  item: JobItemRow,
): Pick<RunRow, 'events' | 'text' | 'versions' | 'savedEvents' | 'savedCharacters'> => {
  if (item.saved !== null) {
    const { events, text } = item.saved;
    return { ...item.saved, savedEvents: events, savedCharacters: text.length };
  }
  return { ...fromTheStart, ...findBeginning(world, job, item) };
};

interface RunsOfJob {
  readonly job: JobRow;
  readonly lifeDeadline: Instant;
  readonly spareGroups: ReadonlySet<string>;
}

const insertRun = (
  world: World,
  item: JobItemRow,
  { job, lifeDeadline, spareGroups }: RunsOfJob,
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
    expectedVersion: null,
    ...beginningOf(world, job, item),
    saveDeadline: deadlineAfter(now, saveMilliseconds),
    failures: 0,
    backoffDeadline: now,
    progressedAt: Number.NEGATIVE_INFINITY,
    progressDeadline: never,
    lifeDeadline,
    call: null,
    scoreFailures: 0,
    rescoreDeadline: never,
  });
  const whole = findWholeText(world, job, item);
  if (whole === undefined) return;
  const { text, versions } = whole;
  beginScoring(world, world.runs.change(run.id, { text, versions })!);
};

/** Inserts the runs that a job lacks. */
export const insertRuns = (world: World, job: JobRow, now: Instant): void => {
  const missing = world.jobItems.where('unlisted', job.id).filter(({ id }) => !world.runs.has(id));
  if (missing.length === 0) return;
  const runs: RunsOfJob = {
    job,
    lifeDeadline: lifeDeadlineOf(world, job, now),
    spareGroups: spareGroupsOf(world, job),
  };
  missing.forEach((item) => insertRun(world, item, runs, now));
};
