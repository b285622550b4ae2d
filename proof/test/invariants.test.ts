/** Each invariant reports a recording that violates it, and accepts a valid recording. */
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
import { checkInvariants, invariants } from '../invariants/invariants.js';
import { getInstallation } from '../system/installations.js';
import { emptyRecording, type Recording } from '../system/recording.js';

const baseRecording = emptyRecording(getInstallation('agency').tree);
const spans = [{ weightVersion: 1, incarnation: 1, tokens: 10 }];

const createExecution = (overrides: Partial<Execution> = {}): Execution => ({
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
  ...overrides,
});

const createCall = (overrides: Partial<Call> = {}): Call => ({
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
  ...overrides,
});

const createDelivery = (overrides: Partial<Delivery> = {}): Delivery => ({
  lot: asBrand('lot-1'),
  cursor: 0,
  sample: asBrand('sample-1'),
  attempt: asBrand<AttemptId>('attempt-1'),
  spans,
  text: '',
  trainerVersion: 1,
  at: 300,
  ...overrides,
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

const validRecording: Recording = {
  ...baseRecording,
  endedAt: 20_000,
  executions: [createExecution()],
  calls: [createCall()],
  events: [answerEvent],
  deliveries: [createDelivery()],
};

const plainCall = createCall({
  decoded: {
    ...createCall().decoded,
    keyDigest: digestOf('demo-key-counter'),
    service: asBrand<ServiceName>('restbalie'),
  },
  outcome: 'failed',
});

const shutdown = {
  daemon: 'gent-dok-1',
  startedAt: 100,
  adviceDeadline: 5_100,
  drainDeadline: 35_100,
  interruptedAt: null,
};
const order = { at: 1, process: 'gent-dok-1', upstream: 'engine-1', fencing: 7 };
const usageReport = { at: 1, process: 'gent-dok-1', window: 'w1', fencing: 7, figures: '10' };
const servedRevision = { at: 1, daemon: 'gent-dok-1', revision: 2, digest: 'a' };
const reachableIntervals = [{ daemon: 'gent-dok-2', from: 0, until: 20_000 }];

/** Overrides of the valid recording that violate one invariant each, by the name of the invariant. */
const invalidRecordings: Readonly<Record<InvariantName, readonly Partial<Recording>[]>> = {
  sampleVersions: [
    { deliveries: [createDelivery({ spans: [{ weightVersion: 2, incarnation: 1, tokens: 10 }] })] },
    { deliveries: [createDelivery({ attempt: asBrand<AttemptId>('attempt-9') })] },
  ],
  sampleBound: [{ deliveries: [createDelivery({ trainerVersion: 3 })] }],
  sampleOnce: [
    { deliveries: [createDelivery(), createDelivery({ cursor: 1 })] },
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
    {
      calls: [
        createCall({ decoded: { ...createCall().decoded, keyDigest: digestOf('no-such-key') } }),
      ],
    },
    { calls: [createCall({ decoded: { ...createCall().decoded, keyDigest: null } })] },
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
      executions: [createExecution({ received: { key: 'demo-key-offcuts' } })],
    },
    {
      keys: ['demo-key-offcuts'],
      executions: [createExecution({ received: { digest: digestOf('demo-key-offcuts') } })],
    },
  ],
  keyWithdrawal: [
    {
      withdrawals: [{ digest: digestOf('demo-key-offcuts'), at: 100 }],
      calls: [createCall({ sentAt: 4_200 })],
    },
  ],
  singleOrders: [
    { orders: [order, { ...order, at: 2, process: 'kortrijk-loods-1', fencing: 6 }] },
    { orders: [order, { ...order, at: 2, process: 'kortrijk-loods-1' }] },
  ],
  singleReports: [
    { usageReports: [usageReport, { ...usageReport, at: 2, figures: '11' }] },
    { usageReports: [usageReport, { ...usageReport, at: 2, process: 'namur-hal-1', fencing: 6 }] },
  ],
  wholeAnswer: [
    { executions: [createExecution({ state: ExecutionState.Crashed })] },
    { executions: [createExecution({ request: asBrand<RequestId>('request-2') })] },
    { executions: [createExecution({ spans: [{ ...spans[0]!, tokens: 11 }] })], deliveries: [] },
  ],
  notRunTrue: [
    {
      calls: [
        createCall({ outcome: 'refused', refusal: { kind: 'leaving', message: '', notRun: true } }),
      ],
    },
  ],
  atMostOnce: [
    {
      calls: [plainCall],
      executions: [
        createExecution(),
        createExecution({ attempt: asBrand<AttemptId>('attempt-2') }),
      ],
    },
  ],
  leavingUpstream: [
    { executions: [createExecution({ announcedState: UpstreamState.Leaving, startedAt: 3_100 })] },
  ],
  gracefulShutdown: [{ shutdowns: [shutdown], calls: [createCall({ outcome: 'connectionLost' })] }],
  agreedConfiguration: [
    { revisions: [servedRevision, { ...servedRevision, at: 2, revision: 1 }] },
    {
      revisions: [servedRevision, { ...servedRevision, at: 2, daemon: 'gent-dok-2', digest: 'b' }],
    },
    { acceptedEdits: [{ at: 100, revision: 2 }], reachableIntervals },
  ],
};

test('a valid recording violates no invariant', (t) => {
  t.deepEqual(checkInvariants(validRecording), []);
});

Object.values(InvariantName).forEach((name) =>
  invalidRecordings[name].forEach((overrides, index) =>
    test(`${name} reports invalid recording ${index + 1}`, (t) => {
      const violations = invariants[name]({ ...validRecording, ...overrides });
      t.true(violations.length > 0);
      t.true(violations.every((violation) => violation.invariant === name));
    }),
  ),
);

test('calls within the bound of a withdrawal, lost after the drain deadline or lost in a crash are allowed', (t) => {
  const withdrawals = [{ digest: digestOf('demo-key-offcuts'), at: 100 }];
  const lostCall = createCall({ outcome: 'connectionLost', endedAt: 40_000 });
  t.deepEqual(
    checkInvariants({ ...validRecording, withdrawals, calls: [createCall({ sentAt: 4_000 })] }),
    [],
  );
  t.deepEqual(
    checkInvariants({
      ...validRecording,
      endedAt: 50_000,
      shutdowns: [shutdown],
      calls: [lostCall],
    }),
    [],
  );
  const crashedShutdown = { ...shutdown, interruptedAt: 200 };
  const cutCall = createCall({ outcome: 'connectionLost', endedAt: 200 });
  t.deepEqual(
    checkInvariants({ ...validRecording, shutdowns: [crashedShutdown], calls: [cutCall] }),
    [],
  );
});
