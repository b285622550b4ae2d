import test from 'ava';
import type { MetricTags } from '../../../../infrastructure/metrics/common/metrics.js';
import { EventKind } from '../../../events/common/eventKind.js';
import { CallRefusalKind } from '../../../forwarding/common/callRefusal.js';
import { CallState } from '../../../forwarding/common/forwardingTables.js';
import {
  callOf,
  createHomeCore,
  declareHomes,
  plainUpstream,
  reportLastSend,
  reportUpstreams,
  sendBookCall,
  takeEvents,
  upstreamsOfCall,
} from './homesFixture.js';

const eastRoute = { routes: { book: ['east'] } };

test('a call is sent only to upstreams in its home regions, however busy they are', (t) => {
  const core = createHomeCore(eastRoute);
  reportUpstreams(core, { e1: plainUpstream('z1', 8), e2: plainUpstream('z2', 100) });
  const calls = Array.from({ length: 8 }, (_, number) => `call-${number}`);
  calls.forEach((id) => sendBookCall(core, id));
  calls.forEach((id) => t.deepEqual(upstreamsOfCall(core, id), ['e1'], id));
});

test('a call without home regions is sent to any region', (t) => {
  const core = createHomeCore({ routes: { score: ['east'] } });
  reportUpstreams(core, { e2: plainUpstream('z2') });
  sendBookCall(core, 'call');
  t.deepEqual(upstreamsOfCall(core, 'call'), ['e2']);
});

test('a retry after a broken send stays in the home regions', (t) => {
  const core = createHomeCore(eastRoute);
  reportUpstreams(core, { e1: plainUpstream('z1', 2), e2: plainUpstream('z2', 100) });
  sendBookCall(core, 'call');
  reportLastSend(core, 'call', { kind: 'broken', reason: 'reset' });
  core.runFor(100);
  t.deepEqual(upstreamsOfCall(core, 'call'), ['e1', 'e1']);
});

test('a retry after a send that did not run stays in the home regions', (t) => {
  const core = createHomeCore({ ...eastRoute, columns: { objectiveMilliseconds: 2_000 } });
  reportUpstreams(core, { e1: plainUpstream('z1', 2), e2: plainUpstream('z2', 100) });
  sendBookCall(core, 'call');
  reportLastSend(core, 'call', { kind: 'notRun', reason: 'status 503' });
  core.runFor(100);
  t.deepEqual(upstreamsOfCall(core, 'call'), ['e1', 'e1']);
});

test('the second attempt after silence stays in the home regions', (t) => {
  const core = createHomeCore(eastRoute);
  reportUpstreams(core, { e1: plainUpstream('z1', 2), e2: plainUpstream('z2', 100) });
  sendBookCall(core, 'call');
  core.runFor(500);
  t.deepEqual(upstreamsOfCall(core, 'call'), ['e1', 'e1']);
});

test('a call whose home regions are busy waits and is sent there once a slot is free', (t) => {
  const core = createHomeCore({ ...eastRoute, columns: { objectiveMilliseconds: 2_000 } });
  reportUpstreams(core, { e1: plainUpstream('z1'), e2: plainUpstream('z2', 100) });
  sendBookCall(core, 'first');
  sendBookCall(core, 'second');
  core.runFor(400);
  t.is(callOf(core, 'second').state, CallState.Waiting);
  reportLastSend(core, 'first', { kind: 'answered', status: 200, hasFailed: false });
  t.deepEqual(upstreamsOfCall(core, 'second'), ['e1']);
});

test('a call whose home regions stay busy is refused as not run after the usual time', (t) => {
  const core = createHomeCore(eastRoute);
  reportUpstreams(core, { e1: plainUpstream('z1'), e2: plainUpstream('z2', 100) });
  sendBookCall(core, 'first');
  sendBookCall(core, 'second');
  core.runFor(100);
  const { refusal } = callOf(core, 'second');
  t.like(refusal, { kind: CallRefusalKind.NoUpstream, isNotRun: true });
});

test('a call without an upstream in its home regions is refused at once, with a log line', (t) => {
  const core = createHomeCore(eastRoute);
  reportUpstreams(core, { e2: plainUpstream('z2', 100), e3: plainUpstream('z3', 100) });
  takeEvents(core);
  const { refusal } = sendBookCall(core, 'call');
  t.like(refusal, {
    kind: CallRefusalKind.NoUpstreamInHomes,
    isNotRun: true,
    retryMilliseconds: 500,
  });
  const lines = takeEvents(core).filter(({ kind }) => kind === EventKind.CallRefused);
  t.is(lines.length, 1);
  t.like(lines[0]!.subject, {
    refusal: CallRefusalKind.NoUpstreamInHomes,
    request: 'call',
    homeRegions: 'east',
    candidateRegions: 'north,west',
    declaration: 1,
  });
});

test('a daemon that knows no upstream yet lets a call wait instead of refusing it at once', (t) => {
  const core = createHomeCore({ ...eastRoute, columns: { objectiveMilliseconds: 2_000 } });
  t.is(sendBookCall(core, 'call').state, CallState.Waiting);
  reportUpstreams(core, { e1: plainUpstream('z1') });
  t.deepEqual(upstreamsOfCall(core, 'call'), ['e1']);
});

test('a call that may have run waits for its home regions and is never said not to have run', (t) => {
  const core = createHomeCore(eastRoute);
  reportUpstreams(core, { e1: plainUpstream('z1'), e2: plainUpstream('z2', 100) });
  sendBookCall(core, 'call');
  core.world.arrivedDepartures.append({ upstream: 'e1', startedAt: 1 });
  reportLastSend(core, 'call', { kind: 'broken', reason: 'reset' });
  t.is(callOf(core, 'call').state, CallState.Waiting);
  core.runFor(2_600);
  t.is(callOf(core, 'call').refusal?.isNotRun, false);
  t.deepEqual(upstreamsOfCall(core, 'call'), ['e1']);
});

test('route and workspace both bind a call', (t) => {
  const core = createHomeCore({ routes: { book: ['east', 'west'] }, workspace: ['west', 'north'] });
  reportUpstreams(core, {
    e1: plainUpstream('z1', 100),
    e2: plainUpstream('z2', 6),
    e3: plainUpstream('z3', 100),
  });
  Array.from({ length: 6 }, (_, number) => `call-${number}`).forEach((id) => {
    sendBookCall(core, id);
    t.deepEqual(upstreamsOfCall(core, id), ['e2'], id);
  });
});

test('home regions of the workspace alone bind a call', (t) => {
  const core = createHomeCore({ workspace: ['west'] });
  reportUpstreams(core, { e1: plainUpstream('z1', 100), e2: plainUpstream('z2', 1) });
  sendBookCall(core, 'call');
  t.deepEqual(upstreamsOfCall(core, 'call'), ['e2']);
});

test('a call whose route and workspace share no home region is refused at once', (t) => {
  const core = createHomeCore({ routes: { book: ['east'] }, workspace: ['west'] });
  reportUpstreams(core, { e1: plainUpstream('z1'), e2: plainUpstream('z2') });
  t.is(sendBookCall(core, 'call').refusal?.kind, CallRefusalKind.NoUpstreamInHomes);
});

test('a change of home regions applies to a call that waits', (t) => {
  const core = createHomeCore({ ...eastRoute, columns: { objectiveMilliseconds: 2_000 } });
  reportUpstreams(core, { e1: plainUpstream('z1'), e2: plainUpstream('z2') });
  sendBookCall(core, 'first');
  t.is(sendBookCall(core, 'second').state, CallState.Waiting);
  declareHomes(core, 2, { routes: { book: ['west'] } });
  t.deepEqual(upstreamsOfCall(core, 'second'), ['e2']);
});

test('a change of home regions applies to a retry', (t) => {
  const core = createHomeCore(eastRoute);
  reportUpstreams(core, { e1: plainUpstream('z1', 2), e2: plainUpstream('z2', 2) });
  sendBookCall(core, 'call');
  t.deepEqual(upstreamsOfCall(core, 'call'), ['e1']);
  declareHomes(core, 2, { routes: { book: ['west'] } });
  reportLastSend(core, 'call', { kind: 'broken', reason: 'reset' });
  t.deepEqual(upstreamsOfCall(core, 'call'), ['e1', 'e2']);
});

test('a call whose route is withdrawn keeps the home regions under which it was admitted', (t) => {
  const core = createHomeCore(eastRoute);
  reportUpstreams(core, { e1: plainUpstream('z1', 2), e2: plainUpstream('z2', 100) });
  sendBookCall(core, 'call');
  declareHomes(core, 2, { columns: { host: 'other.example' } });
  reportLastSend(core, 'call', { kind: 'broken', reason: 'reset' });
  core.runFor(100);
  t.deepEqual(upstreamsOfCall(core, 'call'), ['e1', 'e1']);
});

test('of the services of a route, one with upstreams in the home regions is selected', (t) => {
  const targets = [
    { service: 'planner', weight: 1 },
    { service: 'yard-app', weight: 1 },
  ];
  const core = createHomeCore({ ...eastRoute, columns: { targets } });
  reportUpstreams(core, { e1: plainUpstream('z1', 20), e2: { zone: 'z2', slots: 20 } });
  Array.from({ length: 12 }, (_, number) => `call-${number}`).forEach((id) => {
    sendBookCall(core, id);
    t.deepEqual(upstreamsOfCall(core, id), ['e1'], id);
  });
});

test('calls refused by placement are counted by home region', (t) => {
  const core = createHomeCore({ routes: { book: ['east', 'south'] } });
  const counted: (MetricTags | undefined)[] = [];
  const metrics = {
    ...core.world.metrics,
    count: (name: string, _amount?: number, tags?: MetricTags) => {
      if (name === 'places.callsRefused') counted.push(tags);
    },
  };
  Object.assign(core.world, { metrics });
  reportUpstreams(core, { e2: plainUpstream('z2') });
  sendBookCall(core, 'call');
  t.deepEqual(counted, [
    { region: 'east', kind: CallRefusalKind.NoUpstreamInHomes },
    { region: 'south', kind: CallRefusalKind.NoUpstreamInHomes },
  ]);
});

test('a call refused because its home regions are full names them in its log line', (t) => {
  const core = createHomeCore(eastRoute);
  reportUpstreams(core, { e1: plainUpstream('z1'), e2: plainUpstream('z2', 100) });
  sendBookCall(core, 'first');
  sendBookCall(core, 'second');
  core.runFor(100);
  const line = takeEvents(core).find(({ kind }) => kind === EventKind.CallRefused);
  t.like(line?.subject, {
    refusal: CallRefusalKind.NoUpstream,
    homeRegions: 'east',
    candidateRegions: 'east,west',
  });
});
