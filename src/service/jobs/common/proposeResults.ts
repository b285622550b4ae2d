/**
 * Proposes the results of one job to the log, in commands of limited size.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { World } from '../../world/common/world.js';
import { divideIntoCommands } from './commandBatches.js';
import type { ListedItem } from './jobCommands.js';

/** A leader that cannot commit a result within this time has lost its lease long before. */
const proposalTimeoutMilliseconds = 10_000;

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
      proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
    }),
  );
