/**
 * Forgets ended jobs once their results need not be kept any more. The leader proposes it, so that all
 * voters forget the same jobs at the same place of the log.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { canActAsLeader } from '../../consensus/common/lease.js';
import type { World } from '../../world/common/world.js';
import { JobState, type JobRow } from './jobTables.js';

/** Proposals that are not agreed within this time are made again with the next change of a job. */
const proposalTimeoutMilliseconds = 5_000;

/** The clocks of the VMs differ, so results are kept a little longer than they must be. */
const clockSkewMarginMilliseconds = 10_000;

const isRetentionExpired = (world: World, job: JobRow): boolean => {
  const { jobRetentionMilliseconds } = world.fleet;
  const expiresAt = job.submittedAt + jobRetentionMilliseconds + clockSkewMarginMilliseconds;
  return job.state === JobState.Ended && world.wallNow() >= expiresAt;
};

/** Creates the system that forgets jobs; it looks at them when any of them changes. */
export const createJobRetentionSystem = (world: World): System => {
  const jobChanges = world.jobs.createChangeReader();
  let nextProposalAt: Instant = Number.NEGATIVE_INFINITY;
  return {
    name: 'forget',
    run: (now) => {
      if (jobChanges.take().length === 0 || now < nextProposalAt || !canActAsLeader(world, now))
        return;
      const expiredJobs = [...world.jobs.rows()].filter((job) => isRetentionExpired(world, job));
      expiredJobs.forEach(({ id }) =>
        world.proposals.append({
          id: asBrand(`forget/${id}`),
          command: { kind: 'jobForgotten', job: id },
          proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
        }),
      );
      if (expiredJobs.length > 0) nextProposalAt = deadlineAfter(now, proposalTimeoutMilliseconds);
    },
  };
};
