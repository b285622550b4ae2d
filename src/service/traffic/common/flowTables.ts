/**
 * Tables of fair queueing. A pool is the set of upstreams of a service that have a given model.
 * Each pool has one lane per work class, and each lane has one flow per workspace. A flow has a
 * virtual start time, measured in tokens divided by weight; the flow with the earliest start is
 * served next.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { WorkClass } from '../../configuration/common/tree.js';
import type { ServiceName, WorkspaceName } from '../../world/common/identifiers.js';

export type PoolId = Brand<'pool'>;
export type LaneId = Brand<'lane'>;
export type FlowId = Brand<'flow'>;

/**
 * Returns the identifier of the pool of a service and a model. A plain service has a single pool
 * without a model.
 */
export const poolIdOf = (service: ServiceName, model: string | null): PoolId =>
  asBrand(`${service}|${model ?? ''}`);

export const laneIdOf = (pool: PoolId, workClass: WorkClass): LaneId =>
  asBrand(`${pool}|${workClass}`);

/**
 * Returns the identifier of the flow of a workspace. Requests without a key to open services share
 * one flow.
 */
export const flowIdOf = (lane: LaneId, workspace: WorkspaceName | null): FlowId =>
  asBrand(`${lane}|${workspace ?? ''}`);

/** The virtual time of a pool. */
export interface PoolRow {
  readonly id: PoolId;
  /** Virtual start of the flow that was served most recently. */
  readonly virtualTime: number;
}

/** The waiting requests of one workspace in one lane. */
export interface FlowRow {
  readonly id: FlowId;
  readonly lane: LaneId;
  readonly workspace: WorkspaceName | null;
  /** Virtual time, in tokens divided by weight, at which the flow is next served. */
  readonly virtualStart: number;
  /** Whether the flow may have waiting requests. */
  readonly isBacklogged: boolean;
  /** Whether the workspace has reached its limit of running requests. */
  readonly isBlocked: boolean;
  /** Time of the latest dispatch from the flow, on the clock of this process. */
  readonly dispatchedAt: number;
  /**
   * Smoothed interval between dispatches of the backlog, in milliseconds; 0 before the second one.
   */
  readonly dispatchInterval: number;
}

export const createFlowTables = () => ({
  pools: createTable<PoolRow>({ name: 'pools', indices: {}, deadlines: {} }),
  flows: createTable<FlowRow, 'blocked', never, never, 'backlogged'>({
    name: 'flows',
    indices: {
      blocked: (row) => (row.isBlocked ? (row.workspace ?? undefined) : undefined),
    },
    deadlines: {},
    orders: {
      backlogged: {
        group: (row) => (row.isBacklogged && !row.isBlocked ? row.lane : undefined),
        rank: (row) => row.virtualStart,
      },
    },
  }),
});
export type FlowTables = ReturnType<typeof createFlowTables>;
