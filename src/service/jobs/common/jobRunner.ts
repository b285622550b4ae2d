/**
 * Decides which daemon runs the items of a job. The leader runs those of a job without home regions.
 * A job with home regions has a runner there, which the leader appoints, so that no body or text
 * leaves them. A runner runs items only while it is current: it may have been replaced otherwise.
 */
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../consensus/common/replicaTables.js';
import type { World } from '../../world/common/world.js';
import { hasHeldContents } from './jobContents.js';
import { homeJobGroup, type JobRow } from './jobTables.js';
import { runnerCurrencyId } from './runnerTables.js';

/**
 * Longest age of the log state of a runner that runs items. It is less than the time after which the
 * leader replaces a runner that it no longer hears from, by more than the error of two clocks.
 */
export const runnerCurrencyMilliseconds: Milliseconds = 3_000;

/** Returns the open jobs with home regions. */
export const openHomeJobsOf = (world: World): readonly JobRow[] =>
  world.jobs.where('home', homeJobGroup);

/** Whether this daemon is the appointed runner of a job, as far as it knows. */
export const isAppointedRunner = (world: World, job: Pick<JobRow, 'runner'>): boolean =>
  job.runner === world.self.name;

/** Returns the time at which the log state of this daemon is too old for a runner. */
const currencyDeadlineOf = (world: World, now: Instant): Instant => {
  const replica = replicaOf(world);
  const followerDeadline = deadlineAfter(replica.currentAsOf, runnerCurrencyMilliseconds);
  return isCurrentLeader(replica, now)
    ? Math.max(replica.leaseDeadline, followerDeadline)
    : followerDeadline;
};

/** Whether the log state of this daemon is recent enough for a runner, and it is not leaving. */
export const isRunnerCurrent = (world: World, now: Instant): boolean =>
  !world.isLeaving() && now < currencyDeadlineOf(world, now);

/** Whether this daemon runs the items of a job now. */
export const isRunnerOf = (
  world: World,
  job: Pick<JobRow, 'homeRegions' | 'runner'>,
  now: Instant,
): boolean =>
  hasHeldContents(job)
    ? isAppointedRunner(world, job) && isRunnerCurrent(world, now)
    : isCurrentLeader(replicaOf(world), now);

/** Lets this daemon tick when it stops being current, if it is the runner of a job. */
export const watchRunnerCurrency = (world: World, now: Instant): void => {
  const isRunner = openHomeJobsOf(world).some((job) => isAppointedRunner(world, job));
  const deadline = isRunner ? currencyDeadlineOf(world, now) : never;
  const currencyDeadline = deadline > now ? deadline : never;
  const existing = world.runnerCurrency.get(runnerCurrencyId)?.currencyDeadline ?? never;
  if (existing !== currencyDeadline)
    world.runnerCurrency.put({ id: runnerCurrencyId, currencyDeadline });
};
