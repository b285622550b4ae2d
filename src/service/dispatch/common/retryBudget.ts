/**
 * Budgets of retries: each fresh request of a workspace adds a tenth of a retry, so that retries stay in
 * proportion to fresh requests when everything fails. Attempts that certainly did not run need none.
 */
import type { WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';

const creditPerRequest = 0.1;
const maximumCredit = 10;

const creditOf = (world: World, workspace: WorkspaceName): number =>
  world.retryBudgets.get(workspace)?.credit ?? maximumCredit;

/** Adds the credit of one fresh request. */
export const addRetryCredit = (world: World, workspace: WorkspaceName | null): void => {
  if (workspace === null) return;
  const credit = Math.min(maximumCredit, creditOf(world, workspace) + creditPerRequest);
  world.retryBudgets.put({ id: workspace, credit });
};

/** Takes one retry from the budget; returns whether there was one. Open routes share no budget. */
export const consumeRetryCredit = (world: World, workspace: WorkspaceName | null): boolean => {
  if (workspace === null) return true;
  const credit = creditOf(world, workspace);
  if (credit < 1) return false;
  world.retryBudgets.put({ id: workspace, credit: credit - 1 });
  return true;
};
