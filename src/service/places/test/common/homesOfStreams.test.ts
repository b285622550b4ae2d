import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { RouteKind } from '../../../declaration/common/declaration.js';
import { CallRefusalKind } from '../../../forwarding/common/callRefusal.js';
import type { CallId, CallRow } from '../../../forwarding/common/forwardingTables.js';
import type { Registration } from '../../../registry/common/registryTables.js';
import {
  callOf,
  createHomeCore,
  declareHomes,
  plainUpstream,
  reportLastSend,
  reportUpstreams,
  upstreamsOfCall,
} from './homesFixture.js';

const streams = {
  columns: { kind: RouteKind.Stream, isResumable: true, objectiveMilliseconds: 2_000 },
};

/** Time after which a new start of an upstream does not make the origin of a stream uncertain. */
const uncertainMilliseconds = 3_100;

const sendStream = (core: FleetCore, id: string, resumed: string | null): CallRow => {
  core.world.arrivedCalls.append({
    id: asBrand<CallId>(id),
    requestId: id,
    host: 'yard.example',
    path: '/book/x',
    key: 'key-1',
    remaining: 2_500,
    digest: null,
    isInternal: false,
    urgency: [],
    takesUp: resumed === null ? null : { request: resumed },
  });
  core.settle();
  return callOf(core, id);
};

const upstreamOf = (zone: string, softwareVersion: string): Partial<Registration> => ({
  ...plainUpstream(zone, 20),
  softwareVersion,
});

/** Creates a fleet in which a stream began in `east`, at software v1. */
const createCoreWithStream = (): FleetCore => {
  const core = createHomeCore({ ...streams, routes: { book: ['east'] } });
  reportUpstreams(core, { e1: upstreamOf('z1', 'v1'), e2: upstreamOf('z2', 'v1') });
  sendStream(core, 'first', null);
  reportLastSend(core, 'first', { kind: 'answered', status: 200, hasFailed: false });
  return core;
};

test('a stream is resumed in the home regions', (t) => {
  const core = createCoreWithStream();
  Array.from({ length: 6 }, (_, number) => `resume-${number}`).forEach((id) => {
    sendStream(core, id, 'first');
    t.deepEqual(upstreamsOfCall(core, id), ['e1'], id);
  });
});

test('a change of home regions applies to a resumed stream', (t) => {
  const core = createCoreWithStream();
  declareHomes(core, 2, { ...streams, routes: { book: ['west'] } });
  sendStream(core, 'resume', 'first');
  t.deepEqual(upstreamsOfCall(core, 'resume'), ['e2']);
});

test('a stream whose software version is served only outside is to begin anew', (t) => {
  const core = createCoreWithStream();
  core.runFor(uncertainMilliseconds);
  reportUpstreams(core, {
    e1: { ...upstreamOf('z1', 'v2'), startedAt: 2 },
    e2: upstreamOf('z2', 'v1'),
  });
  const { refusal } = sendStream(core, 'resume', 'first');
  t.like(refusal, { kind: CallRefusalKind.VersionNotServed, isNotRun: true });
});

test('a stream whose home regions have no upstream at all is refused for this reason', (t) => {
  const core = createCoreWithStream();
  core.world.arrivedDepartures.append({ upstream: 'e1', startedAt: 1 });
  const { refusal } = sendStream(core, 'resume', 'first');
  t.like(refusal, { kind: CallRefusalKind.NoUpstreamInHomes, isNotRun: true });
});
