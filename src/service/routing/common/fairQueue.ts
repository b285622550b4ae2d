/**
 * Weighted fair queueing in tokens. Flows of a pool share its upstreams by the weights of their workspaces
 * and work classes. Serving a request moves the virtual start of its flow on by its tokens divided by the
 * weight; a flow that was idle starts at the present virtual time, so that it can't save up, and goes
 * before those that have had their share. The cost grows with what is dispatched only.
 */
import type { Instant } from '../../../base/common/time.js';
import { WorkClass } from '../../configuration/common/tree.js';
import { laneOf, type FlowRow, type PoolId } from '../../traffic/common/flowTables.js';
import type { RequestRow } from '../../traffic/common/trafficTables.js';
import type { World } from '../../world/common/world.js';

/** A request that is served next, with its flow. */
export interface NextRequest {
  readonly request: RequestRow;
  readonly flow: FlowRow;
}

/** How much more a workspace of one class gets than one of another while both have requests that wait. */
const classWeights: Readonly<Record<WorkClass, number>> = { prompt: 2, bulk: 1 };
const workClasses: readonly WorkClass[] = Object.values(WorkClass);

/** Weight of each new interval in the smoothed one. */
const intervalSmoothingFactor = 0.2;

/** The first request of a lane; flows that turn out to be empty are taken out of the backlog. */
const selectFirstOfLane = (
  world: World,
  pool: PoolId,
  workClass: WorkClass,
): NextRequest | undefined => {
  for (;;) {
    const flow = world.flows.first('backlogged', laneOf(pool, workClass));
    if (flow === undefined) return undefined;
    const request = world.requests.first('flow', flow.id);
    if (request !== undefined) return { request, flow };
    world.flows.change(flow.id, { isBacklogged: false });
  }
};

/** The request of a pool that is served next, among the work classes for which `canServe` holds. */
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

/** Charges a served request to its flow, and moves the virtual time of the pool. */
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

/** Puts the flow of a waiting request into the backlog. */
export const addToBacklog = (world: World, request: RequestRow, pool: PoolId): void => {
  const id = request.flow!;
  const existing = world.flows.get(id);
  if (existing?.isBacklogged === true) return;
  const virtualTime = world.pools.get(pool)?.virtualTime ?? 0;
  world.flows.put({
    id,
    lane: laneOf(pool, request.workClass),
    workspace: request.workspace,
    isBlocked: existing?.isBlocked ?? false,
    dispatchInterval: existing?.dispatchInterval ?? 0,
    dispatchedAt: Number.NEGATIVE_INFINITY,
    virtualStart: Math.max(existing?.virtualStart ?? 0, virtualTime),
    isBacklogged: true,
  });
};
