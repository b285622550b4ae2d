/**
 * Proposes the results of one job to the log, in commands of limited size.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import type { World } from '../../world/common/world.js';
import { divideIntoCommands } from './commandBatches.js';
import type { ListedItem } from './jobCommands.js';
import { hasHeldContents } from './jobContents.js';
import type { JobId } from './jobTables.js';

/** Without home regions: a leader that cannot commit a result in this time has lost its lease. */
const proposalTimeoutMilliseconds = 10_000;

/**
 * Time for which a runner keeps a complete text until a leader accepts it. Elections take seconds;
 * voters that lost power together take tens of seconds to start.
 */
const runnerProposalTimeoutMilliseconds = 60_000;

const proposalTimeoutOf = (world: World, job: string): Milliseconds =>
  hasHeldContents(world.jobs.get(asBrand<JobId>(job)) ?? { homeRegions: [] })
    ? runnerProposalTimeoutMilliseconds
    : proposalTimeoutMilliseconds;

/** Proposes results of a job. */
export const proposeResults = (
  world: World,
  job: string,
  allResults: readonly ListedItem[],
  now: Instant,
): void =>
  divideIntoCommands(allResults).forEach((results) =>
    world.proposals.append({
      id: world.identifiers.next('listed'),
      command: { kind: 'itemsListed', job, results },
      proposalDeadline: deadlineAfter(now, proposalTimeoutOf(world, job)),
    }),
  );
