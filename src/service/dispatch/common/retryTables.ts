/**
 * Table of the retry budgets, which limit the retries of each workspace.
 */
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { WorkspaceName } from '../../world/common/identifiers.js';

/** Number of retries available to a workspace; each new request increases it. */
export interface RetryBudgetRow {
  readonly id: WorkspaceName;
  readonly credit: number;
}

export const createRetryTables = () => ({
  retryBudgets: createTable<RetryBudgetRow>({ name: 'retryBudgets', indices: {}, deadlines: {} }),
});
export type RetryTables = ReturnType<typeof createRetryTables>;
