/**
 * Ends requests. Each function sets a final state and the reason, records a metric and an event,
 * and schedules the removal of the row. Attempts are not ended here.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import type { Refusal } from './refusal.js';
import { RequestState, type RequestRow } from './trafficTables.js';

const retentionMilliseconds = 2_000;

interface RequestEnd {
  readonly state: RequestState;
  readonly event: EventKind;
  readonly refusal: Refusal | null;
}

const endRequest = (world: World, request: RequestRow, end: RequestEnd, now: Instant): void => {
  world.requests.change(request.id, {
    state: end.state,
    refusal: end.refusal,
    retentionDeadline: deadlineAfter(now, retentionMilliseconds),
  });
  world.metrics.count(`requests.${end.state}`, 1, { reason: end.refusal?.kind ?? 'none' });
  world.events.append({
    kind: end.event,
    subject: {
      request: request.id,
      workspace: request.workspace,
      reason: end.refusal?.kind ?? null,
      notRun: end.refusal?.notRun ?? false,
    },
  });
};

type RefusalEndHandler = (
  world: World,
  request: RequestRow,
  refusal: Refusal,
  now: Instant,
) => void;

const createEndHandler =
  (state: RequestState, event: EventKind): RefusalEndHandler =>
  (world, request, refusal, now) =>
    endRequest(world, request, { state, event, refusal }, now);

/** Refuses a request that has not run; `refusal.notRun` must be true. */
export const refuseRequest = createEndHandler(RequestState.Refused, EventKind.RequestRefused);

/** Fails a request that may have run. */
export const failRequest = createEndHandler(RequestState.Failed, EventKind.RequestFailed);

/** Cancels a request whose answer is no longer needed. */
export const cancelRequest = createEndHandler(RequestState.Cancelled, EventKind.RequestCancelled);

/** Ends a request whose answer is complete. */
export const answerRequest = (world: World, request: RequestRow, now: Instant): void =>
  endRequest(
    world,
    request,
    { state: RequestState.Answered, event: EventKind.RequestAnswered, refusal: null },
    now,
  );

/** Whether the request has reached a final state. */
export const hasRequestEnded = (request: RequestRow): boolean =>
  request.state === RequestState.Answered ||
  request.state === RequestState.Refused ||
  request.state === RequestState.Failed ||
  request.state === RequestState.Cancelled;
