/**
 * Workspace limits: refusal kinds, retry delays, shedding of bulk requests and shares of entries.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import {
  createTestDeployment,
  createTestTree,
  settleMilliseconds,
} from '../../../../../standins/virtual/testDeployment.js';
import { readRequest, sendRequest } from '../../../../../standins/virtual/trafficFixture.js';
import { createVirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { createDirectUpstreams } from '../../../../../standins/virtual/directUpstreams.js';
import { treeSchema, type Policy, type WorkClass } from '../../../configuration/common/tree.js';
import type { WorkspaceName } from '../../../world/common/identifiers.js';
import { countRunningRequests, computeShare } from '../../common/limitShares.js';

const createInstallation = (policy: Partial<Policy>, daemons = 1, slots = 2) => {
  const upstreams = createDirectUpstreams([
    { name: 'u', service: 'model', models: ['model'], zone: 'z1', slots, millisecondsPerToken: 50 },
  ]);
  const tree = createTestTree();
  const installation = createVirtualInstallation({
    deployment: createTestDeployment(daemons, 1),
    tree: treeSchema.parse({ ...tree, policy: { queueMilliseconds: 600_000, ...policy } }),
    seed: 1,
    ports: [upstreams.createPort],
  });
  installation.runFor(settleMilliseconds);
  return { installation, upstreams };
};

const workspaceOne = asBrand<WorkspaceName>('one');
type Installation = ReturnType<typeof createInstallation>['installation'];

const sendRequests = (installation: Installation, count: number, entry = 'd1') =>
  Array.from({ length: count }, () => sendRequest(installation, entry, { key: 'key-one' }));

const setWorkClass = (installation: Installation, workClass: WorkClass): void => {
  const { world } = installation.daemon('d1').core;
  world.setTree({ ...world.tree(), policy: { ...world.tree().policy, workClass } });
};

test('a request over the queue limit is refused as not run and never reaches an upstream', (t) => {
  const { installation, upstreams } = createInstallation({ maximumWaiting: 5 });
  const last = sendRequests(installation, 8).at(-1)!;
  const refusal = readRequest(installation, 'd1', last)?.refusal;
  t.is(refusal?.kind, 'queueFull');
  t.true(refusal?.notRun);
  installation.runFor(60_000);
  t.is(upstreams.runs().filter((run) => run.request === last).length, 0);
  t.is(upstreams.runs().length, 7);
});

test('a workspace at its limit does not cause refusals of another workspace', (t) => {
  const { installation } = createInstallation({ maximumWaiting: 5 });
  sendRequests(installation, 20);
  const other = sendRequest(installation, 'd1', { key: 'key-two' });
  t.is(readRequest(installation, 'd1', other)?.state, 'waiting');
});

test('the number of running requests of a workspace does not exceed its limit', (t) => {
  const { installation, upstreams } = createInstallation({ maximumRunning: 3 }, 1, 16);
  sendRequests(installation, 10);
  t.is(countRunningRequests(installation.daemon('d1').core.world, workspaceOne), 3);
  installation.runFor(60_000);
  t.is(upstreams.runs().length, 10);
});

test('a prompt request sheds the newest waiting bulk request', (t) => {
  const { installation } = createInstallation({ maximumWaiting: 5, workClass: 'bulk' });
  const bulk: ReturnType<typeof sendRequests> = [];
  for (let count = 0; count < 6; count += 1) {
    bulk.push(...sendRequests(installation, 1));
    installation.runFor(1);
  }
  setWorkClass(installation, 'prompt');
  const prompt = sendRequests(installation, 2);
  const states = [...bulk, ...prompt].map((id) => readRequest(installation, 'd1', id)?.state);
  t.deepEqual(states.slice(0, 5), ['running', 'waiting', 'waiting', 'waiting', 'waiting']);
  t.is(states[5], 'refused');
  t.deepEqual(states.slice(6), ['running', 'waiting']);
});

test('the retry delay of a refusal grows with the queue', (t) => {
  const measureRetryAfter = (waiting: number): number => {
    const { installation } = createInstallation({ maximumWaiting: waiting });
    sendRequests(installation, 2 + waiting);
    installation.runFor(15_100);
    const last = sendRequests(installation, waiting + 3).at(-1)!;
    return readRequest(installation, 'd1', last)!.refusal!.retryAfterMilliseconds!;
  };
  const shortDelay = measureRetryAfter(4);
  const longDelay = measureRetryAfter(16);
  t.true(shortDelay >= 4 * 1_000, `short ${shortDelay}`);
  t.true(longDelay > 2 * shortDelay, `long ${longDelay}, short ${shortDelay}`);
});

test('entries divide the limit by demand after they have exchanged reports', (t) => {
  const { installation } = createInstallation({ maximumRunning: 12 }, 3, 64);
  ['d1', 'd2', 'd3'].forEach((entry) => sendRequests(installation, 20, entry));
  installation.runFor(8_000);
  const running = ['d1', 'd2', 'd3'].map((entry) =>
    countRunningRequests(installation.daemon(entry).core.world, workspaceOne),
  );
  const sum = running.reduce((total, count) => total + count, 0);
  t.true(sum <= 12, `${running.join(', ')} running`);
  t.true(sum >= 9, `${running.join(', ')} running`);
});

test('the sum of shares does not exceed a limit of at least one per entry', (t) => {
  const demands = [50, 10, 3, 0, 0, 0, 0];
  const total = demands.reduce((sum, demand) => sum + demand, 0);
  const shares = demands.map((demand) => computeShare(64, 7, demand, total - demand));
  t.true(shares.reduce((sum, share) => sum + share, 0) <= 64);
  t.true(shares.every((share) => share >= 1));
  t.is(computeShare(64, 7, 50, 0), 64);
});
