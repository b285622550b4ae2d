/**
 * Keeps the runs of this daemon in step with the jobs that it runs: it inserts the runs of a job
 * whose items it runs, and removes those of a job that it does not run. A runner that is not current
 * for a while keeps its complete texts, as it may still be the runner afterwards.
 */
import type { Instant } from '../../../base/common/time.js';
import type { World } from '../../world/common/world.js';
import { insertRuns } from './insertRuns.js';
import { hasHeldContents } from './jobContents.js';
import { isAppointedRunner, isRunnerOf } from './jobRunner.js';
import { itemIdOf, JobState, RunState, type JobId, type JobRow, type RunRow } from './jobTables.js';
import { cancelScoring } from './listItems.js';

const removeRuns = (world: World, runs: readonly RunRow[]): void =>
  runs.forEach((run) => {
    cancelScoring(world, run);
    world.runs.remove(run.id);
  });

/** Whether the text of a run in this state is complete and confirmed. */
const hasCompleteText: Readonly<Record<RunState, boolean>> = {
  waiting: false,
  running: false,
  confirming: false,
  scoring: true,
  proposed: true,
};

/** Whether this daemon may run the items of a job again, once it is current. */
const canResume = (world: World, job: JobRow | undefined): boolean =>
  job?.state === JobState.Open &&
  hasHeldContents(job) &&
  isAppointedRunner(world, job) &&
  !world.isLeaving();

/** Cancels the scoring request of a run; it is sent again when this daemon is current. */
const suspendScoring = (world: World, run: RunRow, now: Instant): void => {
  if (run.state !== RunState.Scoring) return;
  cancelScoring(world, run);
  world.runs.change(run.id, { call: null, scoreRetryDeadline: now });
};

const suspendRuns = (world: World, id: JobId, now: Instant): void => {
  const canKeepTexts = canResume(world, world.jobs.get(id));
  const runs = world.runs.where('job', id);
  const kept = runs.filter(({ state }) => canKeepTexts && hasCompleteText[state]);
  removeRuns(
    world,
    runs.filter((run) => !kept.includes(run)),
  );
  kept.forEach((run) => suspendScoring(world, run, now));
};

/** Returns the items whose results are proposed without an outcome so far, or will be. */
const proposedItemsOf = (world: World): ReadonlySet<string> => {
  const proposed = [...world.pendingProposals.rows()].flatMap(({ command }) =>
    command.kind === 'itemsListed' ? [command] : [],
  );
  // Their texts are being stored at the holders first.
  const stored = [...world.contentStorings.rows()];
  return new Set(
    [...proposed, ...stored].flatMap(({ job, results }) =>
      results.map(({ item }): string => itemIdOf(job, item)),
    ),
  );
};

/**
 * Removes the runs whose proposed results have expired while this daemon was not current, so that
 * their items run again.
 */
export const removeExpiredResults = (world: World): void => {
  const homeRuns = world.runs
    .where('state', RunState.Proposed)
    .filter(({ job }) => hasHeldContents(world.jobs.get(job) ?? { homeRegions: [] }));
  if (homeRuns.length === 0) return;
  const proposed = proposedItemsOf(world);
  removeRuns(
    world,
    homeRuns.filter(({ id }) => !proposed.has(id)),
  );
};

/**
 * Whether a run is no longer needed. A result that this daemon proposed under an earlier lease can
 * be committed after its item has got a new run.
 */
const isRunObsolete = (world: World, job: JobRow, run: RunRow): boolean =>
  job.state === JobState.Ended || world.jobItems.get(run.id)?.isListed !== false;

/** Inserts and removes the runs of a job according to its items, and to whether it runs here. */
export const updateRuns = (world: World, id: JobId, now: Instant): void => {
  const job = world.jobs.get(id);
  if (job === undefined || !isRunnerOf(world, job, now)) {
    suspendRuns(world, id, now);
    return;
  }
  removeRuns(
    world,
    world.runs.where('job', id).filter((run) => isRunObsolete(world, job, run)),
  );
  if (job.state === JobState.Open) insertRuns(world, job, now);
};
