/**
 * Sends waiting calls to upstreams and handles the results of sends. A call that may have run is
 * retried only if its route is idempotent and attempts remain. Writes rows only; a port transmits
 * the requests.
 */
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { countMeteredRequest } from '../../metering/common/meteringTables.js';
import { isQuarantined, recordAnsweredRun } from '../../quarantine/common/crashRecords.js';
import { callQuarantinePolicy } from '../../quarantine/common/quarantinePolicy.js';
import { AddressState, SuspicionCause } from '../../quarantine/common/quarantineTables.js';
import { suspectRun } from '../../quarantine/common/suspicions.js';
import { takePermit } from '../../places/common/coldPermits.js';
import { selectSendable } from '../../places/common/coldSelection.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { recordSendStart } from './callEvents.js';
import { CallRefusalKind } from './callRefusal.js';
import { isHeldForDeclaration, listAllowedUpstreams, placeCall } from './callPlaces.js';
import {
  answerCall,
  endSend,
  incrementRunningCount,
  refuseCall,
  refuseQuarantinedCall,
} from './endCall.js';
import { hasOtherSoftwareSince, recordStreamOrigin, shareStreamOrigin } from './streamOrigins.js';
import {
  CallState,
  hasCallEnded,
  SendOutcome,
  SendState,
  type CallRow,
  type SendResult,
  type SendFact,
  type SendId,
  type SendRow,
} from './forwardingTables.js';

/** Time after a failure for which an upstream is selected only if no other one is available. */
const avoidanceMilliseconds = 1_000;

/** Delay before a call that an upstream did not run is sent again. */
const backoffMilliseconds = 15;

/** Fraction of the slots of an upstream that is reserved for calls of callers. */
const callerReservedFraction = 0.15;

const minimumServerErrorStatus = 500;

const isPreferred = (row: RegistrationRow, call: CallRow, now: Instant): boolean =>
  row.avoidDeadline <= now && !call.triedUpstreams.includes(row.id);

const selectLeastLoaded = (
  world: World,
  rows: readonly RegistrationRow[],
): RegistrationRow | undefined => {
  const minimumLoad = Math.min(...rows.map((row) => row.ownRunning / row.slots));
  const leastLoadedRows = rows.filter((row) => row.ownRunning / row.slots === minimumLoad);
  return leastLoadedRows[world.random.nextInteger(Math.max(1, leastLoadedRows.length))];
};

/** Returns the number of slots that a call can use; internal calls leave the reserved ones free. */
const countUsableSlots = (call: CallRow, { slots }: RegistrationRow): number =>
  call.isInternal ? Math.max(1, slots - Math.ceil(slots * callerReservedFraction)) : slots;

/** A continued stream must run at the software version that began it. */
const canRunVersion = (call: CallRow, { softwareVersion }: RegistrationRow): boolean =>
  call.softwareVersion === null || call.softwareVersion === softwareVersion;

/** Selects the least loaded upstream; prefers those that neither failed recently nor were tried. */
const selectUpstream = (world: World, call: CallRow, now: Instant): RegistrationRow | undefined => {
  const rows = listAllowedUpstreams(world, call).filter(
    (row) => canRunVersion(call, row) && row.ownRunning < countUsableSlots(call, row),
  );
  const preferred = rows.filter((row) => isPreferred(row, call, now));
  const notLastTried = rows.filter((row) => row.id !== call.triedUpstreams.at(-1));
  const fallback = notLastTried.length > 0 ? notLastTried : rows;
  return selectLeastLoaded(world, selectSendable(world, [preferred, fallback], now));
};

/** Whether a call that may have run can be sent once more. */
const canRetry = (call: CallRow): boolean =>
  call.isIdempotent &&
  call.attempts < call.maximumAttempts &&
  (call.isInternal || call.brokenUpstreams.length < callQuarantinePolicy.processEndThreshold);

const computeSilenceDeadline = (call: CallRow, now: Instant): Instant => {
  const isLastAttempt = call.attempts + 1 >= call.maximumAttempts;
  return call.isIdempotent && !isLastAttempt
    ? deadlineAfter(now, call.silenceMilliseconds)
    : call.callDeadline;
};

const startSend = (world: World, call: CallRow, upstream: RegistrationRow, now: Instant): void => {
  const permitDeadline = takePermit(world, upstream, now);
  if (permitDeadline === undefined) return;
  incrementRunningCount(world, upstream.id);
  recordSendStart(world, call, upstream, now);
  recordStreamOrigin(world, call, upstream, now);
  world.sends.put({
    id: world.identifiers.next<SendId>('send'),
    call: call.id,
    upstream: upstream.id,
    process: {
      upstream: upstream.id,
      address: upstream.address,
      startedAt: upstream.startedAt,
    },
    softwareVersion: upstream.softwareVersion,
    state: SendState.Running,
    startedAt: now,
    silenceDeadline: computeSilenceDeadline(call, now),
    permitDeadline,
  });
  world.calls.change(call.id, {
    state: CallState.Running,
    triedUpstreams: [...call.triedUpstreams, upstream.id],
  });
};

/** A call that may have run is not told that it did not run, so its end is another one. */
const endQuarantinedCall = (world: World, call: CallRow, now: Instant): void => {
  if (call.attempts > 0) refuseCall(world, call, CallRefusalKind.UpstreamFailed, now);
  else refuseQuarantinedCall(world, call, now);
};

const sendIfPossible = (world: World, call: CallRow, now: Instant): void => {
  if (isQuarantined(world, call.fingerprint)) {
    endQuarantinedCall(world, call, now);
    return;
  }
  if (call.backoffDeadline > now) return;
  const placedCall = placeCall(world, call, now);
  if (placedCall === undefined) return;
  const upstream = selectUpstream(world, placedCall, now);
  if (upstream !== undefined) startSend(world, placedCall, upstream, now);
};

const compareUrgency = ({ urgency: first }: CallRow, { urgency: second }: CallRow): number => {
  const position = first.findIndex((value, index) => value !== second[index]);
  if (position < 0) return first.length - second.length;
  return first[position]! - (second[position] ?? Number.NEGATIVE_INFINITY);
};

/**
 * Sends waiting calls: first those of callers in order of arrival, then internal ones by urgency.
 */
const sendWaitingCalls = (world: World, now: Instant): void => {
  if (isHeldForDeclaration(world, now)) return;
  [...world.calls.values('waiting')].forEach((service) =>
    [...world.calls.where('waiting', service)]
      .sort(compareUrgency)
      .forEach((call) => sendIfPossible(world, call, now)),
  );
};

const avoidUpstream = (world: World, { upstream }: SendRow, now: Instant): void => {
  const avoidDeadline = deadlineAfter(now, avoidanceMilliseconds);
  world.registrations.change(upstream, { avoidDeadline });
};

const scheduleRetry = (world: World, call: CallRow, backoff: Milliseconds, now: Instant): void => {
  world.metrics.count('calls.retried');
  world.calls.change(call.id, {
    state: CallState.Waiting,
    backoffDeadline: deadlineAfter(now, backoff),
  });
};

const causeByOutcome = {
  [SendOutcome.Broken]: SuspicionCause.Broken,
  [SendOutcome.TimedOut]: SuspicionCause.TimedOut,
} as const;

/**
 * Ends a send without an answer that may have run, and retries the call if allowed, or else refuses
 * it.
 */
const handleFailure = (
  world: World,
  call: CallRow,
  row: SendRow,
  result: SendResult & { readonly outcome: keyof typeof causeByOutcome },
  now: Instant,
): void => {
  endSend(world, row, result, now);
  avoidUpstream(world, row, now);
  const { fingerprint, requestId: request } = call;
  const { process } = row;
  const cause = causeByOutcome[result.outcome];
  suspectRun(world, { fingerprint, request, process, cause, reason: result.reason }, now);
  const updatedCall = world.calls.change(call.id, {
    attempts: call.attempts + 1,
    brokenUpstreams:
      result.outcome === SendOutcome.Broken
        ? [...new Set([...call.brokenUpstreams, row.upstream])]
        : call.brokenUpstreams,
  })!;
  if (canRetry(updatedCall)) scheduleRetry(world, updatedCall, 0, now);
  else refuseCall(world, updatedCall, CallRefusalKind.UpstreamFailed, now);
};

const sendFactHandlers: HandlerTable<SendFact, void, [World, CallRow, SendRow, Instant]> = {
  answered: ({ status, hasFailed }, world, call, row, now) => {
    countMeteredRequest(world, call.workspace);
    const isServerError = status >= minimumServerErrorStatus;
    if (!isServerError) recordAnsweredRun(world, call.fingerprint, now);
    const updatedCall = world.calls.change(call.id, {
      attempts: call.attempts + 1,
      failureCount: call.failureCount + Number(hasFailed),
    })!;
    if (isServerError && canRetry(updatedCall)) {
      endSend(world, row, { outcome: SendOutcome.Failed, reason: `status ${status}` }, now);
      scheduleRetry(world, updatedCall, 0, now);
      return;
    }
    if (updatedCall.continuation !== null && hasOtherSoftwareSince(world, row)) {
      refuseCall(world, updatedCall, CallRefusalKind.UpstreamFailed, now);
      return;
    }
    shareStreamOrigin(world, updatedCall, now);
    answerCall(world, updatedCall, row, now);
  },
  notRun: ({ reason, isConnectionRefused = false }, world, call, row, now) => {
    if (isConnectionRefused)
      world.addressFacts.append({ address: row.process.address, state: AddressState.Refusing });
    endSend(world, row, { outcome: SendOutcome.NotRun, reason }, now);
    avoidUpstream(world, row, now);
    scheduleRetry(world, call, backoffMilliseconds, now);
  },
  broken: ({ reason }, world, call, row, now) => {
    countMeteredRequest(world, call.workspace);
    handleFailure(world, call, row, { outcome: SendOutcome.Broken, reason }, now);
  },
};

const handleSendFact = (world: World, fact: SendFact, now: Instant): void => {
  const row = world.sends.get(fact.send);
  const call = row === undefined ? undefined : world.calls.get(row.call);
  if (row?.state !== SendState.Running || call === undefined || hasCallEnded(call)) {
    world.metrics.count('sends.lateFacts', 1, { fact: fact.kind });
    return;
  }
  dispatchByKind(sendFactHandlers, fact, world, call, row, now);
};

const abandonUnresponsiveSend = (world: World, row: SendRow, now: Instant): void => {
  const call = world.calls.get(row.call);
  if (call === undefined || hasCallEnded(call)) return;
  countMeteredRequest(world, call.workspace);
  handleFailure(
    world,
    call,
    row,
    { outcome: SendOutcome.TimedOut, reason: 'no answer in time' },
    now,
  );
};

/** Creates the system that sends waiting calls and handles the results. */
export const createSendSystem = (world: World): System => ({
  name: 'send',
  run: (now) => {
    world.sendFacts.takeAll().forEach((fact) => handleSendFact(world, fact, now));
    world.sends.takeDue('silence', now).forEach((row) => abandonUnresponsiveSend(world, row, now));
    world.calls.takeDue('backoff', now);
    sendWaitingCalls(world, now);
  },
});
