/**
 * Weighted fair queueing in tokens. The flows of a pool share its upstreams by the weights of their
 * workspaces and work classes. Dispatching a request advances the virtual start of its flow by its
 * tokens divided by the weight. A flow that was idle starts at the current virtual time, so that it
 * cannot accumulate credit but precedes flows that have used their share. The cost is proportional
 * to the number of dispatched requests.
 */
import type { Instant } from '../../../base/common/time.js';
import { WorkClass } from '../../configuration/common/tree.js';
import { laneIdOf, type FlowRow, type PoolId } from '../../traffic/common/flowTables.js';
import type { RequestRow } from '../../traffic/common/trafficTables.js';
import type { World } from '../../world/common/world.js';

/** The request to dispatch next, with its flow. */
export interface NextRequest {
  readonly request: RequestRow;
  readonly flow: FlowRow;
}

/** Weight factor of each work class, which applies while flows of both classes are backlogged. */
const classWeights: Readonly<Record<WorkClass, number>> = { prompt: 2, bulk: 1 };
const workClasses: readonly WorkClass[] = Object.values(WorkClass);

/** Weight of the latest interval in the exponential moving average of dispatch intervals. */
const intervalSmoothingFactor = 0.2;

/** Selects the first request of a lane, and removes empty flows from the backlog on the way. */
const selectFirstOfLane = (
  world: World,
  pool: PoolId,
  workClass: WorkClass,
): NextRequest | undefined => {
  for (;;) {
    const flow = world.flows.first('backlogged', laneIdOf(pool, workClass));
    if (flow === undefined) return undefined;
    const request = world.requests.first('flow', flow.id);
    if (request !== undefined) return { request, flow };
    world.flows.change(flow.id, { isBacklogged: false });
  }
};

/** Selects the next request of a pool, among the work classes for which `canServe` returns true. */
export const selectNextRequest = (
  world: World,
  pool: PoolId,
  canServe: (workClass: WorkClass) => boolean,
): NextRequest | undefined =>
  workClasses
    .filter(canServe)
    .map((workClass) => selectFirstOfLane(world, pool, workClass))
    .filter((next) => next !== undefined)
    .reduce<NextRequest | undefined>(
      (earliest, next) =>
        earliest === undefined || next.flow.virtualStart < earliest.flow.virtualStart
          ? next
          : earliest,
      undefined,
    );

const computeDispatchInterval = (flow: FlowRow, now: Instant): number => {
  const latestInterval = now - flow.dispatchedAt;
  if (flow.dispatchedAt === Number.NEGATIVE_INFINITY) return flow.dispatchInterval;
  return flow.dispatchInterval === 0
    ? latestInterval
    : flow.dispatchInterval + intervalSmoothingFactor * (latestInterval - flow.dispatchInterval);
};

/** Charges a dispatched request to its flow, and advances the virtual time of the pool. */
export const chargeFlow = (
  world: World,
  pool: PoolId,
  { request, flow }: NextRequest,
  now: Instant,
): void => {
  const tokens = Math.max(1, request.estimatedTokens);
  const weight = request.policy!.weight * classWeights[request.workClass];
  world.flows.change(flow.id, {
    virtualStart: flow.virtualStart + tokens / weight,
    dispatchedAt: now,
    dispatchInterval: computeDispatchInterval(flow, now),
  });
  world.pools.put({ id: pool, virtualTime: flow.virtualStart });
};

/** Adds the flow of a waiting request to the backlog. */
export const addToBacklog = (world: World, request: RequestRow, pool: PoolId): void => {
  const id = request.flow!;
  const existing = world.flows.get(id);
  if (existing?.isBacklogged === true) return;
  const virtualTime = world.pools.get(pool)?.virtualTime ?? 0;
  world.flows.put({
    id,
    lane: laneIdOf(pool, request.workClass),
    workspace: request.workspace,
    isBlocked: existing?.isBlocked ?? false,
    dispatchInterval: existing?.dispatchInterval ?? 0,
    dispatchedAt: Number.NEGATIVE_INFINITY,
    virtualStart: Math.max(existing?.virtualStart ?? 0, virtualTime),
    isBacklogged: true,
  });
};
