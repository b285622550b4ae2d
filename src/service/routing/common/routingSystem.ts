/**
 * Assigns waiting requests to upstreams with free slots, in the order of fair queueing. Each
 * decision samples two random upstreams and selects the one with fewer outstanding tokens of this
 * daemon. Its cost therefore does not grow with the number of upstreams, and several entries do not
 * all select the same one. Creates attempt rows only; a port sends the requests.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { computeOwnShare, countRunningRequests } from '../../admission/common/limitShares.js';
import type { WorkClass } from '../../configuration/common/tree.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { UpstreamRow } from '../../membership/common/membershipTables.js';
import type { PoolId } from '../../traffic/common/flowTables.js';
import {
  AttemptState,
  bulkAttemptCounts,
  RequestState,
  type RequestRow,
} from '../../traffic/common/trafficTables.js';
import type { AttemptId, UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { fingerprintOf } from '../../quarantine/common/fingerprint.js';
import { announcedProcessOf } from '../../quarantine/common/processDirectory.js';
import { listCrashedUpstreams } from '../../quarantine/common/suspicions.js';
import { chargeFlow, selectNextRequest } from './fairQueue.js';

const selectLessLoaded = (
  first: UpstreamRow | undefined,
  second: UpstreamRow | undefined,
): UpstreamRow | undefined => {
  if (first === undefined || second === undefined) return first ?? second;
  return second.ownTokens < first.ownTokens ? second : first;
};

/** Selects an upstream with a free slot, or returns undefined if there is none. */
export const selectUpstream = (
  world: World,
  pool: PoolId,
  workClass: WorkClass,
): UpstreamRow | undefined =>
  selectLessLoaded(
    world.upstreams.selectRandom(workClass, pool, world.random),
    world.upstreams.selectRandom(workClass, pool, world.random),
  );

/** Returns the upstreams that may have ended while they ran this request. */
const crashedUpstreamsOf = (world: World, { workspace, digest }: RequestRow): UpstreamId[] =>
  listCrashedUpstreams(world, fingerprintOf(workspace, digest));

const candidateCountForSuspect = 8;

/**
 * Selects the upstream for a request. A request suspected of crashing upstreams is assigned to one
 * that it has not crashed and that runs no other suspect, so that the next crash identifies the
 * cause.
 */
const selectUpstreamForRequest = (
  world: World,
  pool: PoolId,
  request: RequestRow,
): UpstreamRow | undefined => {
  const crashedUpstreams = crashedUpstreamsOf(world, request);
  if (crashedUpstreams.length === 0) return selectUpstream(world, pool, request.workClass);
  return Array.from({ length: candidateCountForSuspect }, () =>
    world.upstreams.selectRandom(request.workClass, pool, world.random),
  ).find(
    (row) =>
      row !== undefined &&
      !crashedUpstreams.includes(row.id) &&
      world.attempts.count('suspectOn', row.id) === 0,
  );
};

const routingRetryDelayMilliseconds = 100;

/**
 * Removes a request from its flow for a short time, so that it does not block the requests behind
 * it.
 */
const delayRequest = (world: World, request: RequestRow, now: Instant): void => {
  const backoffDeadline = deadlineAfter(now, routingRetryDelayMilliseconds);
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
    process: announcedProcessOf(upstream),
    isSuspect: crashedUpstreamsOf(world, request).length > 0,
    state: AttemptState.Queued,
    progressDeadline: deadlineAfter(now, request.policy!.progressMilliseconds),
    estimatedTokens: request.estimatedTokens,
    promptTokens: 0,
    completionTokens: 0,
    spans: [],
    unversionedTokens: 0,
  });
  world.upstreams.change(upstream.id, {
    ownRunning: upstream.ownRunning + 1,
    ownBulkRunning: upstream.ownBulkRunning + bulkAttemptCounts[request.workClass],
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

/** Processes the next request of the pool; returns whether another one may be dispatched. */
const dispatchNext = (world: World, pool: PoolId, now: Instant): boolean => {
  const hasFreeUpstream = (workClass: WorkClass): boolean =>
    world.upstreams.selectableCount(workClass, pool) > 0;
  const next = selectNextRequest(world, pool, hasFreeUpstream);
  if (next === undefined) return false;
  if (isAtRunningLimit(world, next.request)) {
    world.flows.change(next.flow.id, { isBlocked: true });
    return true;
  }
  const upstream = selectUpstreamForRequest(world, pool, next.request);
  if (upstream === undefined) {
    delayRequest(world, next.request, now);
    return true;
  }
  chargeFlow(world, pool, next, now);
  startAttempt(world, next.request, upstream, now);
  return true;
};

const routePool = (world: World, pool: PoolId, now: Instant): void => {
  while (dispatchNext(world, pool, now));
};

/** Creates the system that assigns waiting requests to upstreams. */
export const createRoutingSystem = (world: World): System => ({
  name: 'routing',
  run: (now) =>
    [...world.requests.values('waitingFor')].forEach((pool) =>
      routePool(world, asBrand<PoolId>(pool), now),
    ),
});
