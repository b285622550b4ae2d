/**
 * Ends attempts and decides how their requests proceed: with another attempt, or with a refusal or
 * failure that states correctly whether the request may have run.
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
import { isQuarantined } from '../../quarantine/common/crashRecords.js';
import { fingerprintOf } from '../../quarantine/common/fingerprint.js';
import { requestQuarantinePolicy } from '../../quarantine/common/quarantinePolicy.js';
import { addUsage } from '../../usage/common/usageTables.js';
import type { World } from '../../world/common/world.js';
import { consumeRetryCredit } from './retryBudget.js';

const releaseUpstreamSlot = (world: World, attempt: AttemptRow): void => {
  const upstream = world.upstreams.get(attempt.upstream);
  if (upstream === undefined) return;
  world.upstreams.change(upstream.id, {
    ownRunning: Math.max(0, upstream.ownRunning - 1),
    ownBulkRunning: Math.max(0, upstream.ownBulkRunning - bulkAttemptCounts[attempt.workClass]),
    ownTokens: Math.max(0, upstream.ownTokens - attempt.estimatedTokens),
  });
};

/** Ends an attempt and releases its slot on the upstream. Has no effect on an ended attempt. */
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

/** Counts the tokens of an attempt whose answer is not delivered to a caller. */
export const countWastedTokens = (world: World, attempt: AttemptRow, request: RequestRow): void => {
  if (request.workspace === null) return;
  addUsage(world, request.workspace, {
    promptTokens: 0,
    completionTokens: 0,
    requests: 0,
    wastedTokens: attempt.completionTokens,
  });
};

/** Ends the running attempts of a request; returns whether any had started to be written. */
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

/** Reason why an attempt ended without a complete answer. */
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

/**
 * Returns the delay before the next attempt. It doubles with each attempt up to the maximum, and
 * half of it is random, so that requests that failed together are not retried together.
 */
const backoffOf = (world: World, request: RequestRow): Milliseconds => {
  const exponential = minimumBackoffMilliseconds * 2 ** request.attemptCount;
  const bounded = Math.min(maximumBackoffMilliseconds, exponential);
  return (bounded / 2) * (1 + world.random.nextInteger(jitterSteps) / jitterSteps);
};

/**
 * Whether a request is not sent again because upstreams have ended under it, or may have: evidence
 * comes too late for its own retries.
 */
const isStoppedByCrashes = (world: World, request: RequestRow): boolean =>
  request.brokenUpstreams.length >= requestQuarantinePolicy.processEndThreshold ||
  isQuarantined(world, fingerprintOf(request.workspace, request.digest));

const canRunAgain = (world: World, request: RequestRow): boolean => {
  if (request.attemptCount - request.notRunCount >= request.policy!.maximumAttempts) return false;
  if (request.mayHaveRun && !isIdempotent(world, request)) return false;
  if (isStoppedByCrashes(world, request)) return false;
  return request.sample !== null || !request.answerStarted;
};

/**
 * Whether another attempt is allowed. A retry after an attempt that may have run consumes the retry
 * budget of the workspace.
 */
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

/** Requeues a request for another attempt if that is allowed, or ends it with the failure. */
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
  const kind = isStoppedByCrashes(world, updatedRequest) ? RefusalKind.Quarantined : failure.kind;
  const refusal = createRefusal(kind, !mayHaveRun, failure.detail);
  if (mayHaveRun) failRequest(world, updatedRequest, refusal, now);
  else refuseRequest(world, updatedRequest, refusal, now);
};
