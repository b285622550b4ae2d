/**
 * Routing: gives waiting requests to upstreams with free slots. Two upstreams are drawn at random and the
 * one with fewer outstanding tokens of this daemon is taken, so that the cost of a decision does not grow
 * with the number of upstreams, and several entries do not all choose the same one.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../platform/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { UpstreamRow } from '../../membership/common/membershipTables.js';
import { AttemptState, RequestState, type RequestRow } from '../../traffic/common/trafficTables.js';
import type { AttemptId, ServiceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';

const lessLoaded = (
  first: UpstreamRow | undefined,
  second: UpstreamRow | undefined,
): UpstreamRow | undefined => {
  if (first === undefined || second === undefined) return first ?? second;
  return second.ownTokens < first.ownTokens ? second : first;
};

/** Draws an upstream with a free slot, or undefined where none has one. */
export const drawUpstream = (world: World, service: ServiceName): UpstreamRow | undefined =>
  lessLoaded(
    world.upstreams.draw('free', service, world.random),
    world.upstreams.draw('free', service, world.random),
  );

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

const byUrgency = (first: RequestRow, second: RequestRow): number =>
  Number(first.sample !== null) - Number(second.sample !== null) ||
  first.arrivedAt - second.arrivedAt;

const routeService = (world: World, service: ServiceName, now: Instant): void => {
  if (world.upstreams.drawCount('free', service) === 0) return;
  const waiting = world.requests.where('waitingFor', service).sort(byUrgency);
  waiting.every((request) => {
    const upstream = drawUpstream(world, service);
    if (upstream !== undefined) startAttempt(world, request, upstream, now);
    return upstream !== undefined;
  });
};

/** Creates the system of routing. */
export const createRoutingSystem = (world: World): System => ({
  name: 'routing',
  run: (now) =>
    [...world.requests.values('waitingFor')].forEach((service) =>
      routeService(world, asBrand<ServiceName>(service), now),
    ),
});
