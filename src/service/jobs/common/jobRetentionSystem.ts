/**
 * Forgets ended jobs once their results need not be kept any more. The leader proposes it, so that all
 * voters forget the same jobs at the same place of the log.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { mayActAsLeader } from '../../consensus/common/lease.js';
import type { World } from '../../world/common/world.js';
import { JobState, type JobRow } from './jobTables.js';

/** Proposals that are not agreed within this time are made again with the next change of a job. */
const proposalMilliseconds = 5_000;

/** The clocks of the VMs differ, so results are kept a little longer than they must be. */
const marginMilliseconds = 10_000;

const isOver = (world: World, job: JobRow): boolean => {
  const { jobRetentionMilliseconds } = world.fleet;
  const endsAt = job.submittedAt + jobRetentionMilliseconds + marginMilliseconds;
  return job.state === JobState.Ended && world.wallNow() >= endsAt;
};

/** Creates the system that forgets jobs; it looks at them when any of them changes. */
export const createForgetSystem = (world: World): System => {
  const changes = world.jobs.createChangeReader();
  let proposedUntil: Instant = Number.NEGATIVE_INFINITY;
  return {
    name: 'forget',
    run: (now) => {
      if (changes.take().length === 0 || now < proposedUntil || !mayActAsLeader(world, now)) return;
      const over = [...world.jobs.rows()].filter((job) => isOver(world, job));
      over.forEach(({ id }) =>
        world.proposals.append({
          id: asBrand(`forget/${id}`),
          command: { kind: 'jobForgotten', job: id },
          proposalDeadline: deadlineAfter(now, proposalMilliseconds),
        }),
      );
      if (over.length > 0) proposedUntil = deadlineAfter(now, proposalMilliseconds);
    },
  };
};
