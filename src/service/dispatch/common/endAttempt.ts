/**
 * The end of an attempt, and what follows for its request: another attempt, or a refusal or failure that
 * says truly whether the request may have run.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import { failRequest, refuseRequest } from '../../traffic/common/endRequest.js';
import { createRefusal, type RefusalKind } from '../../traffic/common/refusal.js';
import {
  AttemptState,
  countOfBulk,
  RequestState,
  type AttemptRow,
  type RequestRow,
} from '../../traffic/common/trafficTables.js';
import { addUsage } from '../../usage/common/usageTables.js';
import type { World } from '../../world/common/world.js';

const releaseUpstream = (world: World, attempt: AttemptRow): void => {
  const upstream = world.upstreams.get(attempt.upstream);
  if (upstream === undefined) return;
  world.upstreams.change(upstream.id, {
    ownRunning: Math.max(0, upstream.ownRunning - 1),
    ownBulk: Math.max(0, upstream.ownBulk - countOfBulk[attempt.workClass]),
    ownTokens: Math.max(0, upstream.ownTokens - attempt.estimatedTokens),
  });
};

/** Ends an attempt and frees its place on the upstream. */
export const endAttempt = (world: World, attempt: AttemptRow, outcome: string): void => {
  if (attempt.state === AttemptState.Ended) return;
  world.attempts.change(attempt.id, { state: AttemptState.Ended });
  releaseUpstream(world, attempt);
  world.events.append({
    kind: EventKind.AttemptEnded,
    subject: {
      attempt: attempt.id,
      request: attempt.request,
      upstream: attempt.upstream,
      outcome,
      completionTokens: attempt.completionTokens,
    },
  });
};

/** Counts the tokens of an attempt whose answer nobody gets. */
export const countWaste = (world: World, attempt: AttemptRow, request: RequestRow): void => {
  if (request.workspace === null) return;
  addUsage(world, request.workspace, {
    promptTokens: 0,
    completionTokens: 0,
    requests: 0,
    wastedTokens: attempt.completionTokens,
  });
};

/** Ends the attempts of a request that still run; returns whether any of them was writing. */
export const endRunningAttempts = (world: World, request: RequestRow, outcome: string): boolean => {
  const running = world.attempts
    .where('request', request.id)
    .filter((attempt) => attempt.state !== AttemptState.Ended);
  running.forEach((attempt) => {
    endAttempt(world, attempt, outcome);
    countWaste(world, attempt, request);
  });
  return running.some((attempt) => attempt.state !== AttemptState.Queued);
};

/** Why an attempt ended without a whole answer. */
export interface AttemptFailure {
  readonly kind: RefusalKind;
  readonly detail: string;
  /** Whether the upstream may have run the request. */
  readonly mayHaveRun: boolean;
}

const isIdempotent = (world: World, request: RequestRow): boolean =>
  world.services.get(request.service!)?.settings.idempotent ?? false;

const mayRetry = (world: World, request: RequestRow): boolean => {
  if (request.attemptCount >= request.policy!.maximumAttempts) return false;
  if (request.mayHaveRun && !isIdempotent(world, request)) return false;
  return request.sample !== null || !request.answerStarted;
};

/** Lets a request wait for another upstream where that is allowed, and ends it where not. */
export const retryOrEnd = (
  world: World,
  request: RequestRow,
  failure: AttemptFailure,
  now: Instant,
): void => {
  const mayHaveRun = request.mayHaveRun || failure.mayHaveRun;
  const changed = world.requests.change(request.id, { mayHaveRun })!;
  if (mayRetry(world, changed)) {
    world.metrics.count('requests.retried');
    world.requests.change(request.id, {
      state: RequestState.Waiting,
      queueDeadline: deadlineAfter(now, request.policy!.queueMilliseconds),
    });
    return;
  }
  const refusal = createRefusal(failure.kind, !mayHaveRun, failure.detail);
  if (mayHaveRun) failRequest(world, changed, refusal, now);
  else refuseRequest(world, changed, refusal, now);
};
