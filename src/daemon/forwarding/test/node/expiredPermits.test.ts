/**
 * A process that is suspended between the decision to send a request to a cold upstream and its
 * write must not write it afterwards, because its permit has expired.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { never, type Instant } from '../../../../base/common/time.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import type {
  ArrivedCall,
  CallId,
} from '../../../../service/forwarding/common/forwardingTables.js';
import { createRunPort } from '../../../jobs/node/runPort.js';
import { createCallPort } from '../../node/callPort.js';
import type { UpstreamClient } from '../../node/upstreamClient.js';
import type { UpstreamDialect } from '../../node/upstreamDialect.js';

const lateMilliseconds = 500;

/** A leader with a cold start declared, a port clock that the test sets, and a client that counts. */
const createDaemon = () => {
  const core = createFleetCore({
    places: {
      regionByZone: {},
      coldLimit: { factor: 1.5, slack: 5 },
      canEvacuate: false,
      toleratedZoneLosses: 0,
    },
  });
  const command = testDeclarationCommand();
  const coldStart = { milliseconds: 3_000, requestsPerSecond: 12 };
  const services = command.declaration.services.map((service) => ({ ...service, coldStart }));
  core.propose('declare', { ...command, declaration: { ...command.declaration, services } });
  core.runFor(2_000);
  const sent: string[] = [];
  const client = {
    send: ({ address }: { address: string }) => {
      sent.push(address);
      return { dispose: () => {} };
    },
    closeIdleConnections: () => {},
  } as unknown as UpstreamClient;
  const dialect = { createHeaders: () => ({}) } as unknown as UpstreamDialect;
  const register = (service: string): void => {
    core.world.arrivedRegistrations.append({
      registration: testEngine('e1', { service, startedAt: 5, coldMilliseconds: 3_000 }),
      isDirect: true,
    });
    core.settle();
  };
  let portNow: Instant = 0;
  return {
    core,
    client,
    dialect,
    sent,
    register,
    clock: () => portNow,
    setPortTime: (instant: Instant) => {
      portNow = instant;
    },
  };
};

const arrivedCall: ArrivedCall = {
  id: asBrand<CallId>('call-1'),
  requestId: 'call-1',
  host: 'yard.example',
  path: '/score/x',
  key: null,
  digest: null,
  remaining: 2_000,
  isInternal: false,
  urgency: [],
  takesUp: null,
};

[0, lateMilliseconds].forEach((delay) => {
  const expected = delay === 0 ? 1 : 0;
  test(`a call is written ${expected} times ${delay} ms after its permit was taken`, (t) => {
    const { core, client, dialect, sent, register, clock, setPortTime } = createDaemon();
    const port = createCallPort(
      core.world,
      client,
      dialect,
      () => undefined,
      clock,
      () => {},
    );
    register('yard-app');
    port.submit(arrivedCall, {
      content: { method: 'GET', path: '/score/x', headers: {}, body: null },
      onDidEnd: () => {},
    });
    core.settle();
    const send = [...core.world.sends.rows()][0]!;
    t.not(send.permitDeadline, never);
    setPortTime(core.now() + delay);
    port.drain();
    t.is(sent.length, expected);
    const facts = core.world.sendFacts.takeAll().map(({ kind }) => kind);
    t.deepEqual(facts, expected === 1 ? [] : ['notRun']);
    port.dispose();
  });

  test(`an item is written ${expected} times ${delay} ms after its permit was taken`, (t) => {
    const { core, client, dialect, sent, register, clock, setPortTime } = createDaemon();
    const port = createRunPort(core.world, client, dialect, clock, () => {});
    register('planner');
    core.propose('job', testJob('job-1', [testItem('i1')], { submittedAt: core.now() }));
    core.settle();
    const run = [...core.world.runs.rows()][0]!;
    t.not(run.permitDeadline, never);
    setPortTime(core.now() + delay);
    port.drain();
    t.is(sent.length, expected);
    const facts = core.world.runFacts.takeAll().map(({ kind }) => kind);
    t.deepEqual(facts, expected === 1 ? [] : ['notRun']);
    port.dispose();
  });
});
