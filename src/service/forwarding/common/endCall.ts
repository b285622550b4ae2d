/**
 * Ends calls and sends, and maintains the number of sends that run on each upstream. The call and
 * the send system use these functions; each end is recorded as an event.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { EventSubject } from '../../../infrastructure/timeline/common/timelineEvent.js';
import { remainingQuarantineOf } from '../../quarantine/common/crashRecords.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { EventKind } from '../../events/common/eventKind.js';
import { recordCallEnd, recordSendEnd } from './callEvents.js';
import { createCallRefusal, CallRefusalKind, type CallRefusal } from './callRefusal.js';
import {
  CallState,
  SendOutcome,
  SendState,
  type CallRow,
  type SendResult,
  type SendRow,
} from './forwardingTables.js';

/** Ended rows are kept for this time, so that ports and systems can read them. */
const retentionMilliseconds = 1_000;

const changeRunningCount = (world: World, upstream: UpstreamId, change: number): void => {
  const row = world.registrations.get(upstream);
  if (row === undefined) return;
  world.registrations.change(upstream, {
    ownRunning: Math.max(0, row.ownRunning + change),
  });
};

/** Increments the number of sends that run on an upstream. */
export const incrementRunningCount = (world: World, upstream: UpstreamId): void =>
  changeRunningCount(world, upstream, 1);

/** Ends a send and releases its slot; does nothing if the send has already ended. */
export const endSend = (world: World, send: SendRow, result: SendResult, now: Instant): void => {
  if (send.state === SendState.Ended) return;
  world.sends.change(send.id, { state: SendState.Ended });
  changeRunningCount(world, send.upstream, -1);
  recordSendEnd(world, send, result, now);
};

const abandonSends = (world: World, call: CallRow, reason: string, now: Instant): void =>
  world.sends
    .where('call', call.id)
    .forEach((send) => endSend(world, send, { outcome: SendOutcome.Abandoned, reason }, now));

const endCall = (
  world: World,
  call: CallRow,
  changes: Partial<Omit<CallRow, 'id'>>,
  now: Instant,
): void => {
  world.calls.change(call.id, {
    ...changes,
    retentionDeadline: deadlineAfter(now, retentionMilliseconds),
  });
};

/** Ends a call with the answer of a send. */
export const answerCall = (world: World, call: CallRow, send: SendRow, now: Instant): void => {
  endSend(world, send, { outcome: SendOutcome.Answered, reason: '' }, now);
  recordCallEnd(world, call, EventKind.CallAnswered, { upstream: send.upstream }, now);
  endCall(world, call, { state: CallState.Answered, answer: send.id }, now);
};

const endRefusedCall = (
  world: World,
  call: CallRow,
  refusal: CallRefusal,
  inputs: EventSubject,
  now: Instant,
): void => {
  const { kind } = refusal;
  abandonSends(world, call, kind, now);
  world.metrics.count('calls.refused', 1, { kind });
  const tried = call.triedUpstreams.join(',');
  recordCallEnd(world, call, EventKind.CallRefused, { refusal: kind, tried, ...inputs }, now);
  endCall(world, call, { state: CallState.Refused, refusal }, now);
};

/** Ends a call with a refusal and abandons its sends; `inputs` are added to the event. */
export const refuseCall = (
  world: World,
  call: CallRow,
  kind: CallRefusalKind,
  now: Instant,
  inputs: EventSubject = {},
): void => endRefusedCall(world, call, createCallRefusal(kind), inputs, now);

/** Refuses a call that did not run, because processes ended under calls with the same content. */
export const refuseQuarantinedCall = (world: World, call: CallRow, now: Instant): void => {
  const { fingerprint } = call;
  const retryMilliseconds = remainingQuarantineOf(world, fingerprint, now);
  const refusal = createCallRefusal(CallRefusalKind.Quarantined, { retryMilliseconds });
  endRefusedCall(world, call, refusal, { fingerprint, retryMilliseconds }, now);
};

/** Ends a call whose caller has disconnected. */
export const cancelCall = (world: World, call: CallRow, now: Instant): void => {
  abandonSends(world, call, 'cancelled', now);
  recordCallEnd(world, call, EventKind.CallCancelled, {}, now);
  endCall(world, call, { state: CallState.Cancelled }, now);
};

/** Removes ended calls and their sends after the retention time. */
export const removeExpiredCalls = (world: World, now: Instant): void =>
  world.calls.takeDue('retention', now).forEach(({ id }) => {
    world.sends.where('call', id).forEach((send) => world.sends.remove(send.id));
    world.calls.remove(id);
  });
