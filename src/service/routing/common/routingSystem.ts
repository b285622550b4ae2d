/**
 * Routing: gives waiting requests to upstreams with free slots, in the order of fair queueing. Two
 * upstreams are drawn at random and the one with fewer outstanding tokens of this daemon is taken,
 * so that the cost of a decision does not grow with the number of upstreams, and several entries do
 * not all choose the same one.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { computeOwnShare, countRunningRequests } from '../../admission/common/limitShares.js';
import type { WorkClass } from '../../configuration/common/tree.js';
import { suspectOf } from '../../dispatch/common/quarantine.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { UpstreamRow } from '../../membership/common/membershipTables.js';
import type { PoolId } from '../../traffic/common/flowTables.js';
import {
  AttemptState,
  countOfBulk,
  RequestState,
  type RequestRow,
} from '../../traffic/common/trafficTables.js';
import type { AttemptId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { charge, nextOfPool } from './fairQueue.js';

const lessLoaded = (
  first: UpstreamRow | undefined,
  second: UpstreamRow | undefined,
): UpstreamRow | undefined => {
  if (first === undefined || second === undefined) return first ?? second;
  return second.ownTokens < first.ownTokens ? second : first;
};

/** Draws an upstream with a free slot, or undefined where none has one. */
export const drawUpstream = (
  world: World,
  pool: PoolId,
  workClass: WorkClass,
): UpstreamRow | undefined =>
  lessLoaded(
    world.upstreams.selectRandom(workClass, pool, world.random),
    world.upstreams.selectRandom(workClass, pool, world.random),
  );

const drawsForSuspect = 8;

/**
 * The upstream for a request. One that is suspected of crashing upstreams goes where it has crashed
 * none and no other suspect runs, so that the next crash tells which of them is the cause.
 */
const chooseUpstream = (
  world: World,
  pool: PoolId,
  request: RequestRow,
): UpstreamRow | undefined => {
  const suspicion = suspectOf(world, request);
  if (suspicion === undefined) return drawUpstream(world, pool, request.workClass);
  return Array.from({ length: drawsForSuspect }, () =>
    world.upstreams.selectRandom(request.workClass, pool, world.random),
  ).find(
    (row) =>
      row !== undefined &&
      !suspicion.upstreams.includes(row.id) &&
      world.attempts.count('suspectOn', row.id) === 0,
  );
};

const unplacedMilliseconds = 100;

/** Takes a request out of its flow for a moment, so that it does not hold up those behind it. */
const delay = (world: World, request: RequestRow, now: Instant): void => {
  const backoffDeadline = deadlineAfter(now, unplacedMilliseconds);
  world.requests.change(request.id, { isDelayed: true, backoffDeadline });
};

const startAttempt = (
  world: World,
  request: RequestRow,
  upstream: UpstreamRow,
  now: Instant,
): void => {
  const id = world.identifiers.next<AttemptId>('attempt');
  world.attempts.put({
    id,
    request: request.id,
    upstream: upstream.id,
    service: request.service!,
    workClass: request.workClass,
    isSuspect: suspectOf(world, request) !== undefined,
    state: AttemptState.Queued,
    progressDeadline: deadlineAfter(now, request.policy!.progressMilliseconds),
    estimatedTokens: request.estimatedTokens,
    promptTokens: 0,
    completionTokens: 0,
    spans: [],
    unnamedTokens: 0,
  });
  world.upstreams.change(upstream.id, {
    ownRunning: upstream.ownRunning + 1,
    ownBulkRunning: upstream.ownBulkRunning + countOfBulk[request.workClass],
    ownPeakRunning: Math.max(upstream.ownPeakRunning, upstream.ownRunning + 1),
    ownTokens: upstream.ownTokens + request.estimatedTokens,
  });
  world.requests.change(request.id, {
    state: RequestState.Running,
    attemptCount: request.attemptCount + 1,
  });
  world.events.append({
    kind: EventKind.AttemptStarted,
    subject: { attempt: id, request: request.id, upstream: upstream.id },
  });
};

const isAtRunningLimit = (world: World, { workspace, policy, sample }: RequestRow): boolean => {
  if (workspace === null || sample !== null) return false;
  return (
    countRunningRequests(world, workspace) >=
    computeOwnShare(world, workspace, policy!.maximumRunning)
  );
};

/** Serves one request of the pool; returns whether there may be another. */
const serveOne = (world: World, pool: PoolId, now: Instant): boolean => {
  const canServe = (workClass: WorkClass): boolean =>
    world.upstreams.selectableCount(workClass, pool) > 0;
  const next = nextOfPool(world, pool, canServe);
  if (next === undefined) return false;
  if (isAtRunningLimit(world, next.request)) {
    world.flows.change(next.flow.id, { isBlocked: true });
    return true;
  }
  const upstream = chooseUpstream(world, pool, next.request);
  if (upstream === undefined) {
    delay(world, next.request, now);
    return true;
  }
  charge(world, pool, next, now);
  startAttempt(world, next.request, upstream, now);
  return true;
};

const routePool = (world: World, pool: PoolId, now: Instant): void => {
  while (serveOne(world, pool, now));
};

/** Creates the system of routing. */
export const createRoutingSystem = (world: World): System => ({
  name: 'routing',
  run: (now) =>
    [...world.requests.values('waitingFor')].forEach((pool) =>
      routePool(world, asBrand<PoolId>(pool), now),
    ),
});
