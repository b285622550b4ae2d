/** Retries: bounded by budgets, delayed, and none for a request that crashes the upstreams that run it. */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import {
  createDirectUpstreams,
  DirectOutcome,
} from '../../../../../standins/virtual/directUpstreams.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import { requestOn, sendRequest } from '../../../../../standins/virtual/trafficFixture.js';
import { createVirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import type { ServiceName, UpstreamId, WorkspaceName } from '../../../world/common/identifiers.js';

const open = (upstreamCount: number, slots = 4, daemons = 2) => {
  const upstreams = createDirectUpstreams(
    Array.from({ length: upstreamCount }, (_, index) => ({
      name: `u${index + 1}`,
      service: 'model',
      models: ['model'],
      zone: 'z1',
      slots,
      millisecondsPerToken: 1,
    })),
  );
  const installation = createVirtualInstallation({
    deployment: createTestDeployment(daemons, 1),
    tree: createTestTree(),
    seed: 1,
    ports: [upstreams.createPort],
  });
  installation.runFor(10);
  const worldOf = (name: string) => installation.daemon(name).core.world;
  return { installation, upstreams, worldOf };
};

type Opened = ReturnType<typeof open>;

const runsOf = ({ upstreams }: Opened, request: string) =>
  upstreams.runs().filter((run) => run.request === request);

const poison = { key: 'key-one', digest: 'poison' };

const crashOnPoison = ({ upstreams, installation }: Opened): void =>
  upstreams.setOutcome((attempt) => {
    const rows = ['d1', 'd2'].map((name) => requestOn(installation, name, attempt.request));
    const isPoison = rows.some((row) => row?.digest === poison.digest);
    return isPoison ? DirectOutcome.Crash : DirectOutcome.Answer;
  });

test('a request is quarantined after it crashed two distinct upstreams, with a true refusal', (t) => {
  const opened = open(6);
  crashOnPoison(opened);
  const id = sendRequest(opened.installation, 'd1', poison);
  opened.installation.runFor(20_000);
  const runs = runsOf(opened, id);
  t.is(runs.length, 2);
  t.is(new Set(runs.map((run) => run.upstream)).size, 2);
  const ended = opened.installation
    .events()
    .find((event) => event.kind === 'requestFailed' && event.subject.request === id);
  t.is(ended?.subject.reason, 'quarantined');
  t.is(ended?.subject.notRun, false);
});

test('the same request sent again, also through another entry, is refused as not run', (t) => {
  const opened = open(6);
  crashOnPoison(opened);
  sendRequest(opened.installation, 'd1', poison);
  opened.installation.runFor(20_000);
  const again = ['d1', 'd2'].map((entry) => {
    const id = sendRequest(opened.installation, entry, poison);
    return { id, refusal: requestOn(opened.installation, entry, id)?.refusal };
  });
  opened.installation.runFor(5_000);
  again.forEach(({ id, refusal }) => {
    t.is(refusal?.kind, 'quarantined');
    t.true(refusal?.notRun);
    t.is(runsOf(opened, id).length, 0);
  });
});

test('another workspace may send the same bytes, and other requests of the workspace go on', (t) => {
  const opened = open(6);
  crashOnPoison(opened);
  sendRequest(opened.installation, 'd1', poison);
  opened.installation.runFor(20_000);
  opened.upstreams.setOutcome(() => DirectOutcome.Answer);
  const other = sendRequest(opened.installation, 'd1', { key: 'key-two', digest: 'poison' });
  const harmless = sendRequest(opened.installation, 'd1', { key: 'key-one', digest: 'harmless' });
  opened.installation.runFor(1_000);
  t.is(requestOn(opened.installation, 'd1', other)?.state, 'answered');
  t.is(requestOn(opened.installation, 'd1', harmless)?.state, 'answered');
});

test('requests that ran beside the one that crashes upstreams are answered', (t) => {
  const opened = open(6);
  const { installation, upstreams } = opened;
  upstreams.setOutcome((_, upstream) => {
    const beside = [...opened.worldOf('d1').attempts.where('upstream', upstream)];
    const hasPoison = beside.some(
      (row) =>
        row.state !== 'ended' && requestOn(installation, 'd1', row.request)?.digest === 'poison',
    );
    return hasPoison ? DirectOutcome.Crash : DirectOutcome.Answer;
  });
  sendRequest(installation, 'd1', poison);
  const beside = Array.from({ length: 9 }, (_, index) =>
    sendRequest(installation, 'd1', { key: 'key-one', digest: `beside-${index}` }),
  );
  installation.runFor(20_000);
  const quarantined = [...opened.worldOf('d1').suspects.rows()].filter(
    (row) => row.upstreams.length >= 2,
  );
  t.deepEqual(
    quarantined.map((row) => row.id),
    [asBrand('one|poison')],
  );
  const answered = installation.events().filter((event) => event.kind === 'requestAnswered');
  t.is(answered.length, beside.length);
});

test('retries stay in proportion to fresh requests when every upstream crashes', (t) => {
  const opened = open(40, 100, 1);
  opened.upstreams.setOutcome(() => DirectOutcome.Crash);
  const fresh = 100;
  Array.from({ length: fresh }, (_, index) => {
    sendRequest(opened.installation, 'd1', { key: 'key-one', digest: `request-${index}` });
    return opened.installation.runFor(50);
  });
  opened.installation.runFor(60_000);
  const retries = opened.upstreams.runs().length - fresh;
  t.true(retries > 0 && retries <= 10 + fresh * 0.1, `${retries} retries`);
});

test('a request that full upstreams refuse waits for one instead of being given up', (t) => {
  const opened = open(1, 1, 2);
  ['d1', 'd2'].map(opened.worldOf).forEach((world) => {
    const tree = world.tree();
    world.setTree({ ...tree, policy: { ...tree.policy, maximumAttempts: 1 } });
  });
  const ids = Array.from({ length: 20 }, (_, index) =>
    sendRequest(opened.installation, index % 2 === 0 ? 'd1' : 'd2', { key: 'key-one' }),
  );
  opened.installation.runFor(30_000);
  const answered = opened.installation.events().filter((event) => event.kind === 'requestAnswered');
  t.is(answered.length, ids.length);
});

test('a call that may not be repeated runs once although its upstream crashed', (t) => {
  const upstreams = createDirectUpstreams(
    ['u1', 'u2'].map((name) => ({
      name,
      service: 'depot',
      models: [],
      zone: 'z1',
      slots: 4,
      millisecondsPerToken: 1,
    })),
  );
  const installation = createVirtualInstallation({
    deployment: createTestDeployment(1, 1),
    tree: createTestTree(),
    seed: 1,
    ports: [upstreams.createPort],
  });
  installation.runFor(10);
  upstreams.setOutcome(() => DirectOutcome.Crash);
  const service = asBrand<ServiceName>('depot');
  const id = sendRequest(installation, 'd1', { key: 'key-one', service, model: null });
  installation.runFor(1_000);
  t.is(upstreams.runs().length, 1);
  t.is(requestOn(installation, 'd1', id)?.refusal?.kind, 'upstreamFailed');
  t.false(requestOn(installation, 'd1', id)?.refusal?.notRun);
});

test('the breaker of an upstream that always fails opens, and others get its work', (t) => {
  const opened = open(2, 8, 1);
  opened.upstreams.setOutcome((_, upstream) =>
    upstream === 'u1' ? DirectOutcome.Crash : DirectOutcome.Answer,
  );
  for (let count = 0; count < 60; count += 1) {
    sendRequest(opened.installation, 'd1', { key: 'key-one' });
    opened.installation.runFor(150);
  }
  const failed = opened.upstreams.runs().filter((run) => run.upstream === 'u1').length;
  t.true(failed <= 8, `${failed} attempts on the failing upstream`);
  opened.upstreams.setOutcome(() => DirectOutcome.Answer);
  opened.installation.runFor(60_000);
  const row = opened.worldOf('d1').upstreams.get(asBrand<UpstreamId>('u1'));
  t.false(row?.isBreakerOpen);
  t.is(opened.worldOf('d1').usage.get(asBrand<WorkspaceName>('one'))?.requests, 60);
});
