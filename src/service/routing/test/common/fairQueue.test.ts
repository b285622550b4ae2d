/**
 * Fair queueing: a workspace with many requests does not delay others, and bulk work leaves slots
 * free.
 */
import test from 'ava';
import { treeSchema, type Policy, type Tree } from '../../../configuration/common/tree.js';
import {
  createTestDeployment,
  digestOf,
  settleMilliseconds,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  sendRequest,
  readFirstAttemptStart,
} from '../../../../../standins/virtual/trafficFixture.js';
import { createVirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { createDirectUpstreams } from '../../../../../standins/virtual/directUpstreams.js';

const createTree = (policies: Readonly<Record<string, Partial<Policy>>>): Tree =>
  treeSchema.parse({
    policy: { maximumRunning: 1000, maximumWaiting: 1000, queueMilliseconds: 600_000 },
    services: { model: { kind: 'engine', models: ['model'] } },
    workspaces: Object.fromEntries(
      Object.entries(policies).map(([name, policy]) => [
        name,
        { policy, services: ['model'], keys: { main: { digest: digestOf(name) } } },
      ]),
    ),
  });

const slots = 8;
const requestMilliseconds = 1_000;

const createInstallation = (policies: Readonly<Record<string, Partial<Policy>>>) => {
  const upstreams = createDirectUpstreams([
    { name: 'u', service: 'model', models: ['model'], zone: 'z1', slots, millisecondsPerToken: 10 },
  ]);
  const installation = createVirtualInstallation({
    deployment: createTestDeployment(1, 1),
    tree: createTree(policies),
    seed: 1,
    ports: [upstreams.createPort],
  });
  installation.runFor(settleMilliseconds);
  return installation;
};

type Installation = ReturnType<typeof createInstallation>;

const sendRequests = (installation: Installation, key: string, count: number): void =>
  Array.from({ length: count }).forEach(() => sendRequest(installation, 'd1', { key }));

const measureWaitMilliseconds = (installation: Installation, key: string): number => {
  const sentAt = installation.now();
  const request = sendRequest(installation, 'd1', { key });
  installation.runFor(100_000);
  return readFirstAttemptStart(installation, request)! - sentAt;
};

test('a prompt request waits for one slot, not for the queue of another workspace', (t) => {
  const installation = createInstallation({ flooding: {}, other: {} });
  sendRequests(installation, 'flooding', 400);
  installation.runFor(2_500);
  t.true(measureWaitMilliseconds(installation, 'other') <= requestMilliseconds);
});

test('a workspace with twice the weight receives twice the tokens', (t) => {
  const installation = createInstallation({ heavy: { weight: 2 }, light: {} });
  sendRequests(installation, 'heavy', 300);
  sendRequests(installation, 'light', 300);
  installation.runFor(15_000);
  const { world } = installation.daemon('d1').core;
  const countCompletionTokens = (id: string): number =>
    world.usage.get(id as never)!.completionTokens;
  const ratio = countCompletionTokens('heavy') / countCompletionTokens('light');
  t.true(ratio > 1.8 && ratio < 2.2, `ratio ${ratio}`);
});

test('an idle workspace accumulates no credit with which it could delay others', (t) => {
  const installation = createInstallation({ busy: {}, idle: {} });
  sendRequests(installation, 'busy', 100);
  installation.runFor(10_000);
  sendRequests(installation, 'idle', 100);
  sendRequests(installation, 'busy', 1);
  t.true(measureWaitMilliseconds(installation, 'busy') <= 8 * requestMilliseconds);
});

test('bulk work leaves a slot free, so that a prompt request starts immediately', (t) => {
  const installation = createInstallation({ batch: { workClass: 'bulk' }, other: {} });
  sendRequests(installation, 'batch', 100);
  installation.runFor(2_500);
  t.is(measureWaitMilliseconds(installation, 'other'), 0);
});

test('bulk work makes progress under continuous prompt load', (t) => {
  const installation = createInstallation({ batch: { workClass: 'bulk' }, other: {} });
  sendRequests(installation, 'other', 600);
  sendRequests(installation, 'batch', 10);
  installation.runFor(60_000);
  const { world } = installation.daemon('d1').core;
  t.true((world.usage.get('batch' as never)?.requests ?? 0) >= 5);
});
