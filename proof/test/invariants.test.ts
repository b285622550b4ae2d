/** Each invariant fires on a recording that breaks it, and is silent on one that does not. */
import test from 'ava';
import { asBrand } from '../../src/base/common/brand.js';
import { UpstreamState } from '../../src/service/protocol/common/upstreamProtocol.js';
import type {
  AttemptId,
  RequestId,
  ServiceName,
} from '../../src/service/world/common/identifiers.js';
import { digestOf } from '../../standins/virtual/testDeployment.js';
import type { Call } from '../../standins/virtual/virtualCallers.js';
import type { Delivery } from '../../standins/virtual/virtualTrainers.js';
import { ExecutionState, type Execution } from '../../standins/virtual/virtualUpstream.js';
import { InvariantName } from '../invariants/invariant.js';
import { checkAll, invariants } from '../invariants/invariants.js';
import { installationNamed } from '../system/installations.js';
import { emptyRecording, type Recording } from '../system/recording.js';

const empty = emptyRecording(installationNamed('agency').tree);
const spans = [{ weightVersion: 1, incarnation: 1, tokens: 10 }];

const execution = (columns: Partial<Execution> = {}): Execution => ({
  attempt: asBrand<AttemptId>('attempt-1'),
  request: asBrand<RequestId>('request-1'),
  upstream: 'engine-1',
  daemon: 'gent-dok-1',
  startedAt: 100,
  received: {},
  announcedState: UpstreamState.Serving,
  announcedSince: 0,
  state: ExecutionState.Ended,
  spans,
  generatedTokens: 10,
  isUnresponsive: false,
  ...columns,
});

const call = (columns: Partial<Call> = {}): Call => ({
  number: 0,
  daemon: 'gent-dok-1',
  decoded: {
    keyDigest: digestOf('demo-key-offcuts'),
    service: asBrand<ServiceName>('taalbank'),
    estimatedTokens: 10,
  },
  sentAt: 90,
  request: asBrand<RequestId>('request-1'),
  outcome: 'answered',
  refusal: null,
  endedAt: 300,
  ...columns,
});

const delivery = (columns: Partial<Delivery> = {}): Delivery => ({
  lot: asBrand('lot-1'),
  cursor: 0,
  sample: asBrand('sample-1'),
  attempt: asBrand<AttemptId>('attempt-1'),
  spans,
  text: '',
  trainerVersion: 1,
  at: 300,
  ...columns,
});

const answerEvent = {
  kind: 'attemptEnded',
  at: 300,
  process: 'gent-dok-1',
  subject: {
    attempt: 'attempt-1',
    request: 'request-1',
    outcome: 'answerEnded',
    completionTokens: 10,
  },
} as const;

const good: Recording = {
  ...empty,
  endedAt: 20_000,
  executions: [execution()],
  calls: [call()],
  events: [answerEvent],
  deliveries: [delivery()],
};

const plainCall = call({
  decoded: {
    ...call().decoded,
    keyDigest: digestOf('demo-key-counter'),
    service: asBrand<ServiceName>('restbalie'),
  },
  outcome: 'failed',
});

const shutdown = {
  daemon: 'gent-dok-1',
  beganAt: 100,
  adviceDeadline: 5_100,
  drainDeadline: 35_100,
  interruptedAt: null,
};
const order = { at: 1, process: 'gent-dok-1', upstream: 'engine-1', fencing: 7 };
const report = { at: 1, process: 'gent-dok-1', window: 'w1', fencing: 7, figures: '10' };
const revision = { at: 1, daemon: 'gent-dok-1', revision: 2, digest: 'a' };
const reachable = [{ daemon: 'gent-dok-2', from: 0, until: 20_000 }];

/** Recordings that break one invariant each, by name; every invariant has at least one. */
const broken: Readonly<Record<InvariantName, readonly Partial<Recording>[]>> = {
  sampleVersions: [
    { deliveries: [delivery({ spans: [{ weightVersion: 2, incarnation: 1, tokens: 10 }] })] },
    { deliveries: [delivery({ attempt: asBrand<AttemptId>('attempt-9') })] },
  ],
  sampleBound: [{ deliveries: [delivery({ trainerVersion: 3 })] }],
  sampleOnce: [
    { deliveries: [delivery(), delivery({ cursor: 1 })] },
    {
      trainers: [
        {
          daemon: 'gent-dok-1',
          specification: { groupCount: 1, groupSize: 2, stalenessBound: 1 },
          lot: asBrand('lot-1'),
          cursor: 0,
          trainerVersion: 1,
          finishedAt: 300,
        } as never,
      ],
    },
  ],
  ownWorkspace: [
    { calls: [call({ decoded: { ...call().decoded, keyDigest: digestOf('no-such-key') } })] },
    { calls: [call({ decoded: { ...call().decoded, keyDigest: null } })] },
    {
      events: [
        answerEvent,
        {
          ...answerEvent,
          kind: 'requestAdmitted',
          subject: { request: 'request-1', workspace: 'schools' },
        },
      ],
    },
  ],
  hiddenKeys: [
    {
      keys: ['demo-key-offcuts'],
      executions: [execution({ received: { key: 'demo-key-offcuts' } })],
    },
    {
      keys: ['demo-key-offcuts'],
      executions: [execution({ received: { digest: digestOf('demo-key-offcuts') } })],
    },
  ],
  keyWithdrawal: [
    {
      withdrawals: [{ digest: digestOf('demo-key-offcuts'), at: 100 }],
      calls: [call({ sentAt: 4_200 })],
    },
  ],
  singleOrders: [
    { orders: [order, { ...order, at: 2, process: 'kortrijk-loods-1', fencing: 6 }] },
    { orders: [order, { ...order, at: 2, process: 'kortrijk-loods-1' }] },
  ],
  singleReports: [
    { usageReports: [report, { ...report, at: 2, figures: '11' }] },
    { usageReports: [report, { ...report, at: 2, process: 'namur-hal-1', fencing: 6 }] },
  ],
  wholeAnswer: [
    { executions: [execution({ state: ExecutionState.Crashed })] },
    { executions: [execution({ request: asBrand<RequestId>('request-2') })] },
    { executions: [execution({ spans: [{ ...spans[0]!, tokens: 11 }] })], deliveries: [] },
  ],
  notRunTrue: [
    {
      calls: [
        call({ outcome: 'refused', refusal: { kind: 'leaving', message: '', notRun: true } }),
      ],
    },
  ],
  atMostOnce: [
    {
      calls: [plainCall],
      executions: [execution(), execution({ attempt: asBrand<AttemptId>('attempt-2') })],
    },
  ],
  leavingUpstream: [
    { executions: [execution({ announcedState: UpstreamState.Leaving, startedAt: 3_100 })] },
  ],
  gracefulShutdown: [{ shutdowns: [shutdown], calls: [call({ outcome: 'connectionLost' })] }],
  agreedConfiguration: [
    { revisions: [revision, { ...revision, at: 2, revision: 1 }] },
    { revisions: [revision, { ...revision, at: 2, daemon: 'gent-dok-2', digest: 'b' }] },
    { acceptedEdits: [{ at: 100, revision: 2 }], reachable },
  ],
};

test('a recording in which all is well breaks nothing', (t) => {
  t.deepEqual(checkAll(good), []);
});

Object.values(InvariantName).forEach((name) =>
  broken[name].forEach((columns, index) =>
    test(`${name} fires on broken recording ${index + 1}`, (t) => {
      const violations = invariants[name]({ ...good, ...columns });
      t.true(violations.length > 0);
      t.true(violations.every((violation) => violation.invariant === name));
    }),
  ),
);

test('what is allowed breaks nothing: a withdrawal within its bound, a cut after the drain or by a crash', (t) => {
  const withdrawals = [{ digest: digestOf('demo-key-offcuts'), at: 100 }];
  const lost = call({ outcome: 'connectionLost', endedAt: 40_000 });
  t.deepEqual(checkAll({ ...good, withdrawals, calls: [call({ sentAt: 4_000 })] }), []);
  t.deepEqual(checkAll({ ...good, endedAt: 50_000, shutdowns: [shutdown], calls: [lost] }), []);
  const crashed = { ...shutdown, interruptedAt: 200 };
  const cut = call({ outcome: 'connectionLost', endedAt: 200 });
  t.deepEqual(checkAll({ ...good, shutdowns: [crashed], calls: [cut] }), []);
});
