/**
 * Handles the deadlines of requests and attempts: requests that waited or ran too long, upstreams
 * that made no progress, and rows whose retention time has passed.
 */
import { never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { failRequest, hasRequestEnded, refuseRequest } from '../../traffic/common/endRequest.js';
import { createRefusal, RefusalKind } from '../../traffic/common/refusal.js';
import {
  AttemptState,
  type AttemptRow,
  type RequestRow,
} from '../../traffic/common/trafficTables.js';
import type { World } from '../../world/common/world.js';
import { closeDueBreakers, recordUpstreamFailure } from './breaker.js';
import { countWastedTokens, endAttempt, endRunningAttempts, retryOrEnd } from './endAttempt.js';

const endExpiredRequest = (
  world: World,
  request: RequestRow,
  kind: RefusalKind,
  now: Instant,
): void => {
  const refusal = createRefusal(kind, !request.mayHaveRun);
  if (request.mayHaveRun) failRequest(world, request, refusal, now);
  else refuseRequest(world, request, refusal, now);
};

const handleRequestDeadline = (world: World, request: RequestRow, now: Instant): void => {
  const wasWritten = endRunningAttempts(world, request, RefusalKind.RequestDeadlinePassed);
  const mayHaveRun = request.mayHaveRun || wasWritten;
  const updatedRequest = world.requests.change(request.id, { mayHaveRun })!;
  endExpiredRequest(world, updatedRequest, RefusalKind.RequestDeadlinePassed, now);
};

const handleProgressDeadline = (world: World, attempt: AttemptRow, now: Instant): void => {
  const request = world.requests.get(attempt.request);
  if (request === undefined || hasRequestEnded(request)) return;
  endAttempt(world, attempt, RefusalKind.UpstreamTimedOut);
  countWastedTokens(world, attempt, request);
  recordUpstreamFailure(world, attempt.upstream, now);
  const mayHaveRun = attempt.state !== AttemptState.Queued;
  const detail = `${attempt.upstream} made no progress before the timeout.`;
  retryOrEnd(world, request, { kind: RefusalKind.UpstreamTimedOut, detail, mayHaveRun }, now);
};

const removeRequest = (world: World, request: RequestRow): void => {
  world.attempts
    .where('request', request.id)
    .forEach((attempt) => world.attempts.remove(attempt.id));
  world.requests.remove(request.id);
};

/** Creates the system that handles the deadlines of requests and attempts. */
export const createDeadlineSystem = (world: World): System => ({
  name: 'deadline',
  run: (now) => {
    world.requests
      .takeDue('request', now)
      .forEach((request) => handleRequestDeadline(world, request, now));
    world.requests
      .takeDue('queue', now)
      .forEach((request) =>
        endExpiredRequest(world, request, RefusalKind.QueueDeadlinePassed, now),
      );
    world.attempts
      .takeDue('progress', now)
      .forEach((attempt) => handleProgressDeadline(world, attempt, now));
    world.requests
      .takeDue('backoff', now)
      .forEach(({ id }) => world.requests.change(id, { isDelayed: false, backoffDeadline: never }));
    closeDueBreakers(world, now);
    world.requests.takeDue('retention', now).forEach((request) => removeRequest(world, request));
  },
});
