import test from 'ava';
import { EventKind } from '../../../events/common/eventKind.js';
import { CallState, type SendFact } from '../../common/forwardingTables.js';
import { createStreamFleet, type StreamFleet } from './streamFleet.js';

const attempts = Array.from({ length: 6 }, (_, number) => `resume-${number}`);

const reportSend = (
  { worldOf, sendOf, installation }: StreamFleet,
  daemon: string,
  request: string,
  fact: 'answered' | 'notRun',
): void => {
  const { id: send } = sendOf(daemon, request)!;
  const facts: Record<typeof fact, SendFact> = {
    answered: { kind: 'answered', send, status: 200, hasFailed: false },
    notRun: { kind: 'notRun', send, reason: 'status 503' },
  };
  worldOf(daemon).sendFacts.append(facts[fact]);
  installation.wake(daemon);
  installation.runFor(50);
};

/** Creates a fleet in which `d7` has passed on a stream that `e1`, of software v1, began. */
const createFleetWithStream = (): StreamFleet => {
  const fleet = createStreamFleet();
  fleet.addEngine('e1', { softwareVersion: 'v1', slots: 8 });
  fleet.sendCall('d7', 'first');
  reportSend(fleet, 'd7', 'first', 'answered');
  return fleet;
};

test('a stream goes on only at the software version that began it', (t) => {
  const fleet = createFleetWithStream();
  fleet.addEngine('e2', { softwareVersion: 'v2', slots: 30 });
  attempts.forEach((request) => {
    t.is(fleet.sendCall('d7', request, { takesUp: 'first' }).state, CallState.Running);
    t.is(String(fleet.sendOf('d7', request)?.upstream), 'e1');
  });
});

test('a stream goes on at another daemon after the one that passed it on has ended', (t) => {
  const fleet = createFleetWithStream();
  fleet.addEngine('e2', { softwareVersion: 'v2', slots: 30 });
  fleet.installation.stop('d7');
  ['d8', 'd9', 'd10', 'd11', 'd12'].forEach((daemon) => {
    const request = `resume-${daemon}`;
    t.is(fleet.sendCall(daemon, request, { takesUp: 'first' }).state, CallState.Running);
    t.is(String(fleet.sendOf(daemon, request)?.upstream), 'e1');
    const located = fleet.installation
      .events()
      .find(({ kind, subject }) => kind === EventKind.StreamLocated && subject.request === request);
    t.like(located?.subject, { resumed: 'first', softwareVersion: 'v1' });
    const call = fleet.callOf(daemon, request);
    t.true(located!.at - call.arrivedAt < 100, `${located!.at - call.arrivedAt} ms`);
  });
});

test('a stream whose daemon ends with its answer goes on at another daemon', (t) => {
  const fleet = createStreamFleet();
  fleet.addEngine('e1', { softwareVersion: 'v1', slots: 8 });
  fleet.addEngine('e2', { softwareVersion: 'v2', slots: 8 });
  fleet.sendCall('d7', 'first');
  const { upstream, id: send } = fleet.sendOf('d7', 'first')!;
  fleet.worldOf('d7').sendFacts.append({ kind: 'answered', send, status: 200, hasFailed: false });
  fleet.installation.wake('d7');
  fleet.installation.stop('d7');
  ['d8', 'd9', 'd10', 'd11', 'd12'].forEach((daemon) => {
    t.is(fleet.sendCall(daemon, `r-${daemon}`, { takesUp: 'first' }).state, CallState.Running);
    t.is(fleet.sendOf(daemon, `r-${daemon}`)?.upstream, upstream);
    reportSend(fleet, daemon, `r-${daemon}`, 'answered');
  });
});

test('a stream whose software version no longer serves is refused and not run', (t) => {
  const fleet = createFleetWithStream();
  fleet.addEngine('e2', { softwareVersion: 'v2' });
  fleet.removeEngine('e1');
  const call = fleet.sendCall('d8', 'resume', { takesUp: 'first' });
  t.like(call, { state: CallState.Refused, attempts: 0, triedUpstreams: [] });
  t.like(call.refusal, { kind: 'versionNotServed', isNotRun: true });
});

test('a stream of an unknown origin is refused and not run', (t) => {
  const fleet = createFleetWithStream();
  [
    { request: 'a', takesUp: 'never-seen' },
    { request: 'b', takesUp: null },
  ].forEach(({ request, takesUp }) => {
    const call = fleet.sendCall('d8', request, { takesUp });
    t.like(call, { state: CallState.Refused, attempts: 0, triedUpstreams: [] });
    t.like(call.refusal, { kind: 'originUnknown', isNotRun: true });
  });
});

test('a daemon without contact to others refuses a stream that another one passed on', (t) => {
  const fleet = createFleetWithStream();
  fleet.addEngine('e2', { softwareVersion: 'v2' });
  fleet.installation
    .runningNames()
    .filter((name) => name !== 'd8')
    .forEach((name) => fleet.installation.cut('d8', name));
  const call = fleet.sendCall('d8', 'resume', { takesUp: 'first' });
  t.like(call, { state: CallState.Refused, attempts: 0 });
  t.true(call.refusal!.isNotRun);
});

test('a resumption that an upstream did not run is sent again only to its software version', (t) => {
  const fleet = createFleetWithStream();
  fleet.addEngine('e2', { softwareVersion: 'v2', slots: 30 });
  fleet.sendCall('d8', 'resume', { takesUp: 'first' });
  for (let round = 0; round < 5; round += 1) {
    t.is(String(fleet.sendOf('d8', 'resume')?.upstream), 'e1');
    reportSend(fleet, 'd8', 'resume', 'notRun');
  }
});

test('a stream that a second upstream began goes on at the software version of that one', (t) => {
  const fleet = createStreamFleet();
  fleet.addEngine('e1', { softwareVersion: 'v1' });
  fleet.addEngine('e2', { softwareVersion: 'v2' });
  fleet.sendCall('d7', 'first');
  const refusing = fleet.sendOf('d7', 'first')?.upstream;
  reportSend(fleet, 'd7', 'first', 'notRun');
  const began = fleet.sendOf('d7', 'first')?.upstream;
  t.not(began, refusing);
  reportSend(fleet, 'd7', 'first', 'answered');
  attempts.forEach((request) => {
    fleet.sendCall('d9', request, { takesUp: 'first' });
    t.is(fleet.sendOf('d9', request)?.upstream, began);
    reportSend(fleet, 'd9', request, 'answered');
  });
});

test('a stream begun by an upstream that had started again with other software is refused', (t) => {
  const fleet = createFleetWithStream();
  fleet.addEngine('e1', { softwareVersion: 'v2', startedAt: -1 });
  fleet.addEngine('e3', { softwareVersion: 'v1' });
  const call = fleet.sendCall('d8', 'resume', { takesUp: 'first' });
  t.like(call.refusal, { kind: 'originUnknown', isNotRun: true });
});

test('a resumption answered by an upstream that started again with other software fails', (t) => {
  const fleet = createFleetWithStream();
  fleet.addEngine('e3', { softwareVersion: 'v1', slots: 1 });
  fleet.sendCall('d8', 'resume', { takesUp: 'first' });
  const upstream = String(fleet.sendOf('d8', 'resume')?.upstream);
  fleet.addEngine(upstream, { softwareVersion: 'v2', startedAt: -1 });
  if (fleet.callOf('d8', 'resume').state === CallState.Running)
    reportSend(fleet, 'd8', 'resume', 'answered');
  t.like(fleet.callOf('d8', 'resume'), { state: CallState.Refused });
  t.like(fleet.callOf('d8', 'resume').refusal, { isNotRun: false });
});

test('a stream that may have begun is not sent to another upstream within its call', (t) => {
  const fleet = createStreamFleet();
  fleet.addEngine('e1', { softwareVersion: 'v1' });
  fleet.addEngine('e2', { softwareVersion: 'v2' });
  fleet.sendCall('d7', 'first');
  const { id: send } = fleet.sendOf('d7', 'first')!;
  fleet.worldOf('d7').sendFacts.append({ kind: 'broken', send, reason: 'reset' });
  fleet.installation.wake('d7');
  fleet.installation.runFor(50);
  t.is(fleet.worldOf('d7').sends.where('call', 'first').length, 1);
  t.like(fleet.callOf('d7', 'first').refusal, { isNotRun: false });
});

test('on a route without resumable streams, the last event of a caller changes nothing', (t) => {
  const fleet = createStreamFleet();
  fleet.addEngine('e2', { softwareVersion: 'v2' });
  const call = fleet.sendCall('d8', 'resume', { path: '/tell/x', takesUp: 'never-seen' });
  t.is(call.state, CallState.Running);
  t.is(call.continuation, null);
});
