/**
 * Removes ended jobs once the retention time of their results has passed. The leader proposes the
 * removal as a command, so that all voters remove the same jobs at the same log position.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { canActAsLeader } from '../../consensus/common/lease.js';
import type { World } from '../../world/common/world.js';
import { JobState, type JobRow } from './jobTables.js';

/** A removal that is not committed within this time is proposed again with the next job change. */
const proposalTimeoutMilliseconds = 5_000;

/** Added to the retention time, because the clocks of the VMs differ. */
const clockSkewMarginMilliseconds = 10_000;

const isRetentionExpired = (world: World, job: JobRow): boolean => {
  const { jobRetentionMilliseconds } = world.fleet;
  const expiresAt = job.submittedAt + jobRetentionMilliseconds + clockSkewMarginMilliseconds;
  return job.state === JobState.Ended && world.wallNow() >= expiresAt;
};

/** Creates the system that removes expired jobs; it checks all jobs whenever one changes. */
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
