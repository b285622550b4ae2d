/**
 * Checks an attempt before its first byte is sent. An attempt changes from queued to writing only
 * if its upstream is still serving and the API key of its request is still valid. The port starts
 * to write when it sees the state `writing`; from then on the request may have run.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { findKeyRefusal } from '../../configuration/common/keyChecks.js';
import { UpstreamState } from '../../protocol/common/upstreamProtocol.js';
import { refuseRequest } from '../../traffic/common/endRequest.js';
import { createRefusal, RefusalKind } from '../../traffic/common/refusal.js';
import {
  AttemptState,
  type AttemptRow,
  type RequestRow,
} from '../../traffic/common/trafficTables.js';
import type { World } from '../../world/common/world.js';
import { endAttempt, retryOrEnd } from './endAttempt.js';

const findRequestKeyRefusal = (
  world: World,
  request: RequestRow,
  now: Instant,
): RefusalKind | undefined =>
  request.keyDigest === null ? undefined : findKeyRefusal(world, request.keyDigest, now);

const isServing = (world: World, attempt: AttemptRow): boolean =>
  world.upstreams.get(attempt.upstream)?.state === UpstreamState.Serving;

const refuseAttempt = (
  world: World,
  attempt: AttemptRow,
  request: RequestRow,
  kind: RefusalKind,
  now: Instant,
): void => {
  endAttempt(world, attempt, kind);
  const refusal = createRefusal(kind, !request.mayHaveRun);
  refuseRequest(world, request, refusal, now);
};

const dispatchAttempt = (world: World, attempt: AttemptRow, now: Instant): void => {
  const request = world.requests.get(attempt.request)!;
  const kind = findRequestKeyRefusal(world, request, now);
  if (kind !== undefined) {
    refuseAttempt(world, attempt, request, kind, now);
    return;
  }
  if (isServing(world, attempt)) {
    world.attempts.change(attempt.id, { state: AttemptState.Writing });
    return;
  }
  endAttempt(world, attempt, 'upstreamLeft');
  const detail = `${attempt.upstream} stopped serving before the request was sent.`;
  const failure = { kind: RefusalKind.QueueDeadlinePassed, detail, mayHaveRun: false };
  retryOrEnd(world, request, failure, now);
};

/** Creates the system that dispatches queued attempts. */
export const createDispatchSystem = (world: World): System => {
  const attemptChanges = world.attempts.createChangeReader();
  return {
    name: 'dispatch',
    run: (now) =>
      attemptChanges.take().forEach((id) => {
        const attempt = world.attempts.get(id);
        if (attempt?.state === AttemptState.Queued) dispatchAttempt(world, attempt, now);
      }),
  };
};
