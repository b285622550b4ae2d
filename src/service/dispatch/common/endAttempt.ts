/**
 * The end of an attempt, and what follows for its request: another attempt, or a refusal or failure that
 * says truly whether the request may have run.
 */
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import { failRequest, refuseRequest } from '../../traffic/common/endRequest.js';
import { createRefusal, RefusalKind } from '../../traffic/common/refusal.js';
import {
  AttemptState,
  bulkAttemptCounts,
  RequestState,
  type AttemptRow,
  type RequestRow,
} from '../../traffic/common/trafficTables.js';
import { addUsage } from '../../usage/common/usageTables.js';
import type { World } from '../../world/common/world.js';
import { suspectOf } from './quarantine.js';
import { consumeRetryCredit } from './retryBudget.js';
import { isQuarantined } from './retryTables.js';

const releaseUpstreamSlot = (world: World, attempt: AttemptRow): void => {
  const upstream = world.upstreams.get(attempt.upstream);
  if (upstream === undefined) return;
  world.upstreams.change(upstream.id, {
    ownRunning: Math.max(0, upstream.ownRunning - 1),
    ownBulkRunning: Math.max(0, upstream.ownBulkRunning - bulkAttemptCounts[attempt.workClass]),
    ownTokens: Math.max(0, upstream.ownTokens - attempt.estimatedTokens),
  });
};

/** Ends an attempt and frees its place on the upstream. */
export const endAttempt = (world: World, attempt: AttemptRow, outcome: string): void => {
  if (attempt.state === AttemptState.Ended) return;
  world.attempts.change(attempt.id, { state: AttemptState.Ended });
  releaseUpstreamSlot(world, attempt);
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
export const countWastedTokens = (world: World, attempt: AttemptRow, request: RequestRow): void => {
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
  const runningAttempts = world.attempts
    .where('request', request.id)
    .filter((attempt) => attempt.state !== AttemptState.Ended);
  runningAttempts.forEach((attempt) => {
    endAttempt(world, attempt, outcome);
    countWastedTokens(world, attempt, request);
  });
  return runningAttempts.some((attempt) => attempt.state !== AttemptState.Queued);
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

const minimumBackoffMilliseconds = 20;
const maximumBackoffMilliseconds = 2_000;
const jitterSteps = 1_024;

/** Doubles with each attempt; half of it is drawn, so that requests that failed together spread out. */
const backoffOf = (world: World, request: RequestRow): Milliseconds => {
  const exponential = minimumBackoffMilliseconds * 2 ** request.attemptCount;
  const bounded = Math.min(maximumBackoffMilliseconds, exponential);
  return (bounded / 2) * (1 + world.random.nextInteger(jitterSteps) / jitterSteps);
};

const canRunAgain = (world: World, request: RequestRow): boolean => {
  if (request.attemptCount - request.notRunCount >= request.policy!.maximumAttempts) return false;
  if (request.mayHaveRun && !isIdempotent(world, request)) return false;
  if (isQuarantined(suspectOf(world, request))) return false;
  return request.sample !== null || !request.answerStarted;
};

/** Whether another attempt is allowed; one after an attempt that may have run is paid from the budget. */
const tryClaimRetry = (world: World, request: RequestRow, failure: AttemptFailure): boolean =>
  canRunAgain(world, request) &&
  (!failure.mayHaveRun || consumeRetryCredit(world, request.workspace));

const requeueRequest = (
  world: World,
  request: RequestRow,
  failure: AttemptFailure,
  now: Instant,
): void => {
  const { queueMilliseconds } = request.policy!;
  world.metrics.count('requests.retried');
  world.requests.change(request.id, {
    state: RequestState.Waiting,
    isDelayed: true,
    backoffDeadline: deadlineAfter(now, backoffOf(world, request)),
    queueDeadline: failure.mayHaveRun
      ? deadlineAfter(now, queueMilliseconds)
      : request.queueDeadline,
  });
};

/** Lets a request wait for another upstream where that is allowed, and ends it where not. */
export const retryOrEnd = (
  world: World,
  request: RequestRow,
  failure: AttemptFailure,
  now: Instant,
): void => {
  const mayHaveRun = request.mayHaveRun || failure.mayHaveRun;
  const notRunCount = request.notRunCount + (failure.mayHaveRun ? 0 : 1);
  const updatedRequest = world.requests.change(request.id, { mayHaveRun, notRunCount })!;
  if (tryClaimRetry(world, updatedRequest, failure)) {
    requeueRequest(world, updatedRequest, failure, now);
    return;
  }
  const kind = isQuarantined(suspectOf(world, updatedRequest))
    ? RefusalKind.Quarantined
    : failure.kind;
  const refusal = createRefusal(kind, !mayHaveRun, failure.detail);
  if (mayHaveRun) failRequest(world, updatedRequest, refusal, now);
  else refuseRequest(world, updatedRequest, refusal, now);
};
