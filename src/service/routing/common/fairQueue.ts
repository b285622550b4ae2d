/**
 * Weighted fair queueing in tokens. Lanes of a pool share its upstreams by the weights of the work
 * classes, and flows of a lane share the lane by the weights of the workspaces. Serving a request moves
 * the virtual start of its flow and lane on by its tokens divided by the weight; one that was idle starts
 * at the present virtual time, so that it can't save up. The cost grows with what is dispatched only.
 */
import type { Instant } from '../../../base/common/time.js';
import { WorkClass } from '../../configuration/common/tree.js';
import {
  laneOf,
  type FlowRow,
  type LaneId,
  type LaneRow,
  type PoolId,
} from '../../traffic/common/flowTables.js';
import type { RequestRow } from '../../traffic/common/trafficTables.js';
import type { World } from '../../world/common/world.js';

/** A request that is served next, with its flow and lane. */
export interface NextRequest {
  readonly request: RequestRow;
  readonly flow: FlowRow;
  readonly lane: LaneRow;
}

/** Shares of the work classes of a pool while both have requests that wait. */
const laneWeights: Readonly<Record<WorkClass, number>> = { prompt: 16, bulk: 1 };

/** Weight of each new interval in the smoothed one. */
const smoothing = 0.2;

/** The first request of a lane; flows that turn out to be empty are taken out of the backlog. */
const firstOfLane = (world: World, lane: LaneRow): NextRequest | undefined => {
  for (;;) {
    const flow = world.flows.first('backlogged', lane.id);
    if (flow === undefined) return undefined;
    const request = world.requests.first('flow', flow.id);
    if (request !== undefined) return { request, flow, lane };
    world.flows.change(flow.id, { isBacklogged: false });
  }
};

/** The request of a pool that is served next, among the lanes for which `canServe` holds. */
export const nextOfPool = (
  world: World,
  pool: PoolId,
  canServe: (workClass: WorkClass) => boolean,
): NextRequest | undefined =>
  world.lanes
    .where('pool', pool)
    .filter((lane) => canServe(lane.workClass))
    .map((lane) => firstOfLane(world, lane))
    .filter((next) => next !== undefined)
    .reduce<NextRequest | undefined>(
      (best, next) =>
        best === undefined || next.lane.virtualStart < best.lane.virtualStart ? next : best,
      undefined,
    );

const intervalAfter = (flow: FlowRow, now: Instant): number => {
  const latest = now - flow.dispatchedAt;
  if (flow.dispatchedAt === Number.NEGATIVE_INFINITY) return flow.dispatchInterval;
  return flow.dispatchInterval === 0
    ? latest
    : flow.dispatchInterval + smoothing * (latest - flow.dispatchInterval);
};

/** Charges a served request to its flow and lane. */
export const charge = (world: World, { request, flow, lane }: NextRequest, now: Instant): void => {
  const tokens = Math.max(1, request.estimatedTokens);
  world.flows.change(flow.id, {
    virtualStart: flow.virtualStart + tokens / request.policy!.weight,
    dispatchedAt: now,
    dispatchInterval: intervalAfter(flow, now),
  });
  world.lanes.change(lane.id, {
    virtualStart: lane.virtualStart + tokens / laneWeights[lane.workClass],
    virtualTime: flow.virtualStart,
  });
};

const isLaneIdle = (world: World, lane: LaneId): boolean =>
  world.flows.first('backlogged', lane) === undefined;

/** The lowest virtual start of the other lanes of the pool that have requests. */
const virtualTimeOfPool = (world: World, lane: LaneRow): number =>
  world.lanes
    .where('pool', lane.pool)
    .filter((other) => other.id !== lane.id && !isLaneIdle(world, other.id))
    .reduce((lowest, other) => Math.min(lowest, other.virtualStart), Number.POSITIVE_INFINITY);

const createLane = (world: World, pool: PoolId, workClass: WorkClass): LaneRow =>
  world.lanes.put({
    id: laneOf(pool, workClass),
    pool,
    workClass,
    virtualStart: 0,
    virtualTime: 0,
  });

const startLane = (world: World, pool: PoolId, workClass: WorkClass): LaneRow => {
  const lane = world.lanes.get(laneOf(pool, workClass)) ?? createLane(world, pool, workClass);
  if (!isLaneIdle(world, lane.id)) return lane;
  const present = virtualTimeOfPool(world, lane);
  if (present === Number.POSITIVE_INFINITY) return lane;
  return world.lanes.change(lane.id, { virtualStart: Math.max(lane.virtualStart, present) })!;
};

/** Puts the flow of a waiting request into the backlog. */
export const startFlow = (world: World, request: RequestRow, pool: PoolId): void => {
  const id = request.flow!;
  const before = world.flows.get(id);
  if (before?.isBacklogged === true) return;
  const lane = startLane(world, pool, request.workClass);
  const virtualStart = Math.max(before?.virtualStart ?? 0, lane.virtualTime);
  world.flows.put({
    id,
    lane: lane.id,
    workspace: request.workspace,
    isBlocked: before?.isBlocked ?? false,
    dispatchInterval: before?.dispatchInterval ?? 0,
    dispatchedAt: Number.NEGATIVE_INFINITY,
    virtualStart,
    isBacklogged: true,
  });
};
