/**
 * The rows of fair queueing. A pool is the set of upstreams of a service that have a model. In each pool
 * there is a lane for each work class, and in each lane a flow for each workspace. Flows carry virtual
 * starts in tokens divided by weight: the one that starts first is served next.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { WorkClass } from '../../configuration/common/tree.js';
import type { ServiceName, WorkspaceName } from '../../world/common/identifiers.js';

export type PoolId = Brand<'pool'>;
export type LaneId = Brand<'lane'>;
export type FlowId = Brand<'flow'>;

/** The pool of a service and a model; plain services have one pool, without a model. */
export const poolIdOf = (service: ServiceName, model: string | null): PoolId =>
  asBrand(`${service}|${model ?? ''}`);

export const laneIdOf = (pool: PoolId, workClass: WorkClass): LaneId =>
  asBrand(`${pool}|${workClass}`);

/** The flow of a workspace; requests of open routes without a key share one flow. */
export const flowIdOf = (lane: LaneId, workspace: WorkspaceName | null): FlowId =>
  asBrand(`${lane}|${workspace ?? ''}`);

/** How far a pool has got in virtual time. */
export interface PoolRow {
  readonly id: PoolId;
  /** Virtual start of the flow that was served last. */
  readonly virtualTime: number;
}

/** The waiting requests of one workspace in one lane. */
export interface FlowRow {
  readonly id: FlowId;
  readonly lane: LaneId;
  readonly workspace: WorkspaceName | null;
  /** Weighted tokens at which the flow is served next. */
  readonly virtualStart: number;
  /** Whether it may have requests that wait. */
  readonly isBacklogged: boolean;
  /** Whether its workspace runs as many requests as its limit allows. */
  readonly isBlocked: boolean;
  /** When a request of the flow was dispatched last, on the clock of this process. */
  readonly dispatchedAt: number;
  /** Smoothed milliseconds from one dispatch to the next while requests wait; 0 before the second. */
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
