/**
 * Retry budgets of workspaces. Each new request adds a tenth of a retry, so that retries stay in
 * proportion to new requests when every attempt fails. Retries after attempts that certainly did
 * not run consume no budget.
 */
import type { WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';

const creditPerRequest = 0.1;
const maximumCredit = 10;

const creditOf = (world: World, workspace: WorkspaceName): number =>
  world.retryBudgets.get(workspace)?.credit ?? maximumCredit;

/** Adds the credit of one new request to the budget of its workspace. */
export const addRetryCredit = (world: World, workspace: WorkspaceName | null): void => {
  if (workspace === null) return;
  const credit = Math.min(maximumCredit, creditOf(world, workspace) + creditPerRequest);
  world.retryBudgets.put({ id: workspace, credit });
};

/**
 * Consumes one retry; returns whether the budget had one. Requests without workspace have no limit.
 */
export const consumeRetryCredit = (world: World, workspace: WorkspaceName | null): boolean => {
  if (workspace === null) return true;
  const credit = creditOf(world, workspace);
  if (credit < 1) return false;
  world.retryBudgets.put({ id: workspace, credit: credit - 1 });
  return true;
};
