/** Fair queueing: a workspace that floods does not hold up another, and bulk work leaves room for prompt. */
import test from 'ava';
import { treeSchema, type Policy, type Tree } from '../../../configuration/common/tree.js';
import {
  createTestDeployment,
  digestOf,
  settleMilliseconds,
} from '../../../../../standins/virtual/testDeployment.js';
import { sendRequest, startOf } from '../../../../../standins/virtual/trafficFixture.js';
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

const open = (policies: Readonly<Record<string, Partial<Policy>>>) => {
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

type Installation = ReturnType<typeof open>;

const flood = (installation: Installation, key: string, count: number): void =>
  Array.from({ length: count }).forEach(() => sendRequest(installation, 'd1', { key }));

const waitOf = (installation: Installation, key: string): number => {
  const sentAt = installation.now();
  const request = sendRequest(installation, 'd1', { key });
  installation.runFor(100_000);
  return startOf(installation, request)! - sentAt;
};

test('a prompt request waits for one slot and not for the queue of a flooding workspace', (t) => {
  const installation = open({ flooding: {}, other: {} });
  flood(installation, 'flooding', 400);
  installation.runFor(2_500);
  t.true(waitOf(installation, 'other') <= requestMilliseconds);
});

test('a workspace of twice the weight is served twice the tokens', (t) => {
  const installation = open({ heavy: { weight: 2 }, light: {} });
  flood(installation, 'heavy', 300);
  flood(installation, 'light', 300);
  installation.runFor(15_000);
  const { world } = installation.daemon('d1').core;
  const served = (id: string): number => world.usage.get(id as never)!.completionTokens;
  const ratio = served('heavy') / served('light');
  t.true(ratio > 1.8 && ratio < 2.2, `ratio ${ratio}`);
});

test('a workspace that was idle cannot save up and then hold up the others', (t) => {
  const installation = open({ busy: {}, idle: {} });
  flood(installation, 'busy', 100);
  installation.runFor(10_000);
  flood(installation, 'idle', 100);
  flood(installation, 'busy', 1);
  t.true(waitOf(installation, 'busy') <= 8 * requestMilliseconds);
});

test('bulk work leaves a slot free, so that a prompt request starts at once', (t) => {
  const installation = open({ batch: { workClass: 'bulk' }, other: {} });
  flood(installation, 'batch', 100);
  installation.runFor(2_500);
  t.is(waitOf(installation, 'other'), 0);
});

test('bulk work is served although prompt work never ends', (t) => {
  const installation = open({ batch: { workClass: 'bulk' }, other: {} });
  flood(installation, 'other', 600);
  flood(installation, 'batch', 10);
  installation.runFor(60_000);
  const { world } = installation.daemon('d1').core;
  t.true((world.usage.get('batch' as never)?.requests ?? 0) >= 5);
});
