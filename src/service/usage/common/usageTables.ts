/**
 * Usage by workspace as counted by this daemon. Totals never decrease within one incarnation of
 * the daemon.
 */
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { WorkspaceName } from '../../world/common/identifiers.js';

export interface UsageRow {
  readonly id: WorkspaceName;
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Number of requests whose answer was complete. */
  readonly requests: number;
  /** Tokens of attempts whose answer was not delivered. */
  readonly wastedTokens: number;
}

export const createUsageTables = () => ({
  usage: createTable<UsageRow>({ name: 'usage', indices: {}, deadlines: {} }),
});
export type UsageTables = ReturnType<typeof createUsageTables>;

/** Adds token and request counts to the usage of a workspace. */
export const addUsage = (
  { usage }: UsageTables,
  workspace: WorkspaceName,
  added: Omit<UsageRow, 'id'>,
): void => {
  const current = usage.get(workspace);
  usage.put({
    id: workspace,
    promptTokens: (current?.promptTokens ?? 0) + added.promptTokens,
    completionTokens: (current?.completionTokens ?? 0) + added.completionTokens,
    requests: (current?.requests ?? 0) + added.requests,
    wastedTokens: (current?.wastedTokens ?? 0) + added.wastedTokens,
  });
};
