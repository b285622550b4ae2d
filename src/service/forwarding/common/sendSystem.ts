/**
 * Gives waiting calls to upstreams and takes what became of the sends. What may have run is sent again
 * only where the route says that it may run more than once.
 */
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { countMeteredRequest } from '../../metering/common/meteringTables.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { recordSendStart } from './callEvents.js';
import { CallRefusalKind } from './callRefusal.js';
import { answerCall, endSend, occupyUpstream, refuseCall } from './endCall.js';
import {
  CallState,
  isEndedCall,
  SendOutcome,
  SendState,
  type CallRow,
  type SendEnding,
  type SendFact,
  type SendId,
  type SendRow,
} from './forwardingTables.js';

/** An upstream that failed gets nothing for this time where another one can run it. */
const avoidMilliseconds = 1_000;

/** Before a call that was not taken is offered again. */
const backoffMilliseconds = 15;

/** Share of the slots of an upstream that calls of the system itself leave to callers. */
const callerShare = 0.15;

const lowestServerError = 500;

const isPreferred = (row: RegistrationRow, call: CallRow, now: Instant): boolean =>
  row.avoidDeadline <= now && !call.tried.includes(row.id);

const leastLoaded = (
  world: World,
  rows: readonly RegistrationRow[],
): RegistrationRow | undefined => {
  const load = Math.min(...rows.map((row) => row.ownRunning / row.slots));
  const lightest = rows.filter((row) => row.ownRunning / row.slots === load);
  return lightest[world.random.nextInteger(Math.max(1, lightest.length))];
};

/** Slots for which a send competes; own calls leave some to those for which callers wait. */
const slotsFor = (call: CallRow, { slots }: RegistrationRow): number =>
  call.isOwn ? Math.max(1, slots - Math.ceil(slots * callerShare)) : slots;

/** Chooses the least loaded upstream; one that failed or was tried only where there is no other. */
const chooseUpstream = (world: World, call: CallRow, now: Instant): RegistrationRow | undefined => {
  const rows = world.registrations
    .where('service', call.service)
    .filter((row) => row.ownRunning < slotsFor(call, row));
  const preferred = rows.filter((row) => isPreferred(row, call, now));
  const untried = rows.filter((row) => row.id !== call.tried.at(-1));
  const nextBest = untried.length > 0 ? untried : rows;
  return leastLoaded(world, preferred.length > 0 ? preferred : nextBest);
};

/** Whether a call may be sent once more although it may have run. */
const mayRunAgain = (call: CallRow): boolean =>
  call.isIdempotent && call.attempts < call.maximumAttempts;

const silenceDeadlineOf = (call: CallRow, now: Instant): Instant => {
  const isLast = call.attempts + 1 >= call.maximumAttempts;
  return call.isIdempotent && !isLast
    ? deadlineAfter(now, call.silenceMilliseconds)
    : call.callDeadline;
};

const send = (world: World, call: CallRow, upstream: RegistrationRow, now: Instant): void => {
  occupyUpstream(world, upstream.id);
  recordSendStart(world, call, upstream, now);
  world.sends.put({
    id: world.identifiers.next<SendId>('send'),
    call: call.id,
    upstream: upstream.id,
    state: SendState.Running,
    startedAt: now,
    silenceDeadline: silenceDeadlineOf(call, now),
  });
  world.calls.change(call.id, {
    state: CallState.Running,
    tried: [...call.tried, upstream.id],
  });
};

const offer = (world: World, call: CallRow, now: Instant): void => {
  if (call.backoffDeadline > now) return;
  const upstream = chooseUpstream(world, call, now);
  if (upstream !== undefined) send(world, call, upstream, now);
};

const compareUrgency = ({ urgency: first }: CallRow, { urgency: second }: CallRow): number => {
  const position = first.findIndex((value, index) => value !== second[index]);
  if (position < 0) return first.length - second.length;
  return first[position]! - (second[position] ?? Number.NEGATIVE_INFINITY);
};

/** Offers waiting calls: those of callers as they came, then own ones by their urgency. */
const offerAll = (world: World, now: Instant): void =>
  [...world.calls.values('waiting')].forEach((service) =>
    [...world.calls.where('waiting', service)]
      .sort(compareUrgency)
      .forEach((call) => offer(world, call, now)),
  );

const avoid = (world: World, { upstream }: SendRow, now: Instant): void => {
  const avoidDeadline = deadlineAfter(now, avoidMilliseconds);
  world.registrations.change(upstream, { avoidDeadline });
};

const waitAgain = (world: World, call: CallRow, backoff: Milliseconds, now: Instant): void => {
  world.metrics.count('calls.retried');
  world.calls.change(call.id, {
    state: CallState.Waiting,
    backoffDeadline: deadlineAfter(now, backoff),
  });
};

/** Ends a send that may have run, and sends again where that is allowed. */
const takeFailure = (
  world: World,
  call: CallRow,
  row: SendRow,
  ending: SendEnding,
  now: Instant,
): void => {
  endSend(world, row, ending, now);
  avoid(world, row, now);
  const changed = world.calls.change(call.id, { attempts: call.attempts + 1 })!;
  if (mayRunAgain(changed)) waitAgain(world, changed, 0, now);
  else refuseCall(world, changed, CallRefusalKind.UpstreamFailed, now);
};

const handlers: HandlerTable<SendFact, void, [World, CallRow, SendRow, Instant]> = {
  answered: ({ status }, world, call, row, now) => {
    countMeteredRequest(world, call.workspace);
    const isFailure = status >= lowestServerError;
    const changed = world.calls.change(call.id, {
      attempts: call.attempts + 1,
      failedAnswers: call.failedAnswers + (isFailure ? 1 : 0),
    })!;
    if (isFailure && mayRunAgain(changed)) {
      endSend(world, row, { outcome: SendOutcome.Failed, reason: `status ${status}` }, now);
      waitAgain(world, changed, 0, now);
      return;
    }
    answerCall(world, changed, row, now);
  },
  notRun: ({ reason }, world, call, row, now) => {
    endSend(world, row, { outcome: SendOutcome.NotRun, reason }, now);
    avoid(world, row, now);
    waitAgain(world, call, backoffMilliseconds, now);
  },
  broken: ({ reason }, world, call, row, now) => {
    countMeteredRequest(world, call.workspace);
    takeFailure(world, call, row, { outcome: SendOutcome.Broken, reason }, now);
  },
};

const takeFact = (world: World, fact: SendFact, now: Instant): void => {
  const row = world.sends.get(fact.send);
  const call = row === undefined ? undefined : world.calls.get(row.call);
  if (row?.state !== SendState.Running || call === undefined || isEndedCall(call)) {
    world.metrics.count('sends.lateFacts', 1, { fact: fact.kind });
    return;
  }
  dispatchByKind(handlers, fact, world, call, row, now);
};

const giveUpSilent = (world: World, row: SendRow, now: Instant): void => {
  const call = world.calls.get(row.call);
  if (call === undefined || isEndedCall(call)) return;
  countMeteredRequest(world, call.workspace);
  takeFailure(world, call, row, { outcome: SendOutcome.Silent, reason: 'no answer in time' }, now);
};

/** Creates the system of sends. */
export const createSendSystem = (world: World): System => ({
  name: 'send',
  run: (now) => {
    world.sendFacts.takeAll().forEach((fact) => takeFact(world, fact, now));
    world.sends.takeDue('silence', now).forEach((row) => giveUpSilent(world, row, now));
    world.calls.takeDue('backoff', now);
    offerAll(world, now);
  },
});
