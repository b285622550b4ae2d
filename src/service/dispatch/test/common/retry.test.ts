/**
 * Guards against retry storms: retries are delayed and limited by budgets, and a request that
 * crashes the upstreams that run it is quarantined.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import {
  createDirectUpstreams,
  DirectOutcome,
} from '../../../../../standins/virtual/directUpstreams.js';
import {
  createTestDeployment,
  createTestTree,
  settleMilliseconds,
} from '../../../../../standins/virtual/testDeployment.js';
import { readRequest, sendRequest } from '../../../../../standins/virtual/trafficFixture.js';
import { createVirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import type { ServiceName, UpstreamId, WorkspaceName } from '../../../world/common/identifiers.js';

const createFixture = (upstreamCount: number, slots = 4, daemons = 2) => {
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
  installation.runFor(settleMilliseconds);
  const worldOf = (name: string) => installation.daemon(name).core.world;
  return { installation, upstreams, worldOf };
};

type Fixture = ReturnType<typeof createFixture>;

const runsOf = ({ upstreams }: Fixture, request: string) =>
  upstreams.runs().filter((run) => run.request === request);

const poison = { key: 'key-one', digest: 'poison' };

const crashOnPoisonRequest = ({ upstreams, installation }: Fixture): void =>
  upstreams.setOutcomeSelector((attempt) => {
    const rows = ['d1', 'd2'].map((name) => readRequest(installation, name, attempt.request));
    const isPoison = rows.some((row) => row?.digest === poison.digest);
    return isPoison ? DirectOutcome.Crash : DirectOutcome.Answer;
  });

test('a request that crashed two distinct upstreams fails as quarantined and possibly run', (t) => {
  const fixture = createFixture(6);
  crashOnPoisonRequest(fixture);
  const id = sendRequest(fixture.installation, 'd1', poison);
  fixture.installation.runFor(20_000);
  const runs = runsOf(fixture, id);
  t.is(runs.length, 2);
  t.is(new Set(runs.map((run) => run.upstream)).size, 2);
  const ended = fixture.installation
    .events()
    .find((event) => event.kind === 'requestFailed' && event.subject.request === id);
  t.is(ended?.subject.reason, 'quarantined');
  t.is(ended?.subject.notRun, false);
});

test('a quarantined request that is resubmitted through any daemon is refused as not run', (t) => {
  const fixture = createFixture(6);
  crashOnPoisonRequest(fixture);
  sendRequest(fixture.installation, 'd1', poison);
  fixture.installation.runFor(20_000);
  const resubmitted = ['d1', 'd2'].map((entry) => {
    const id = sendRequest(fixture.installation, entry, poison);
    return { id, refusal: readRequest(fixture.installation, entry, id)?.refusal };
  });
  fixture.installation.runFor(5_000);
  resubmitted.forEach(({ id, refusal }) => {
    t.is(refusal?.kind, 'quarantined');
    t.true(refusal?.notRun);
    t.is(runsOf(fixture, id).length, 0);
  });
});

test('a request whose answers live upstreams cut off is never refused as quarantined', (t) => {
  const fixture = createFixture(6);
  fixture.upstreams.setOutcomeSelector(() => DirectOutcome.Cut);
  Array.from({ length: 6 }, (_, index) => {
    const daemon = index % 2 === 0 ? 'd1' : 'd2';
    const id = sendRequest(fixture.installation, daemon, poison);
    fixture.installation.runFor(5_000);
    return t.true(runsOf(fixture, id).length > 0, `request ${index} ran`);
  });
  fixture.upstreams.setOutcomeSelector(() => DirectOutcome.Answer);
  const id = sendRequest(fixture.installation, 'd1', poison);
  fixture.installation.runFor(1_000);
  t.is(readRequest(fixture.installation, 'd1', id)?.state, 'answered');
});

test('quarantine affects no other workspace and no other requests of the workspace', (t) => {
  const fixture = createFixture(6);
  crashOnPoisonRequest(fixture);
  sendRequest(fixture.installation, 'd1', poison);
  fixture.installation.runFor(20_000);
  fixture.upstreams.setOutcomeSelector(() => DirectOutcome.Answer);
  const otherWorkspaceId = sendRequest(fixture.installation, 'd1', {
    key: 'key-two',
    digest: 'poison',
  });
  const harmlessId = sendRequest(fixture.installation, 'd1', {
    key: 'key-one',
    digest: 'harmless',
  });
  fixture.installation.runFor(1_000);
  t.is(readRequest(fixture.installation, 'd1', otherWorkspaceId)?.state, 'answered');
  t.is(readRequest(fixture.installation, 'd1', harmlessId)?.state, 'answered');
});

test('requests that ran concurrently with one that crashes upstreams are answered', (t) => {
  const fixture = createFixture(6);
  const { installation, upstreams } = fixture;
  upstreams.setOutcomeSelector((_, upstream) => {
    const concurrentAttempts = [...fixture.worldOf('d1').attempts.where('upstream', upstream)];
    const hasPoison = concurrentAttempts.some(
      (row) =>
        row.state !== 'ended' && readRequest(installation, 'd1', row.request)?.digest === 'poison',
    );
    return hasPoison ? DirectOutcome.Crash : DirectOutcome.Answer;
  });
  sendRequest(installation, 'd1', poison);
  const concurrentIds = Array.from({ length: 9 }, (_, index) =>
    sendRequest(installation, 'd1', { key: 'key-one', digest: `beside-${index}` }),
  );
  installation.runFor(20_000);
  const quarantined = [...fixture.worldOf('d1').crashRecords.rows()].filter(
    (row) => row.isQuarantined,
  );
  t.deepEqual(
    quarantined.map((row) => row.id),
    [asBrand('one|poison')],
  );
  const answered = installation.events().filter((event) => event.kind === 'requestAnswered');
  t.is(answered.length, concurrentIds.length);
});

test('retries stay in proportion to new requests when every upstream crashes', (t) => {
  const fixture = createFixture(40, 100, 1);
  fixture.upstreams.setOutcomeSelector(() => DirectOutcome.Crash);
  const newRequestCount = 100;
  Array.from({ length: newRequestCount }, (_, index) => {
    sendRequest(fixture.installation, 'd1', { key: 'key-one', digest: `request-${index}` });
    return fixture.installation.runFor(50);
  });
  fixture.installation.runFor(60_000);
  const retries = fixture.upstreams.runs().length - newRequestCount;
  t.true(retries > 0 && retries <= 10 + newRequestCount * 0.1, `${retries} retries`);
});

test('a request that full upstreams refuse waits for a free slot instead of failing', (t) => {
  const fixture = createFixture(1, 1, 2);
  ['d1', 'd2'].map(fixture.worldOf).forEach((world) => {
    const tree = world.tree();
    world.setTree({ ...tree, policy: { ...tree.policy, maximumAttempts: 1 } });
  });
  const ids = Array.from({ length: 20 }, (_, index) =>
    sendRequest(fixture.installation, index % 2 === 0 ? 'd1' : 'd2', { key: 'key-one' }),
  );
  fixture.installation.runFor(30_000);
  const answered = fixture.installation
    .events()
    .filter((event) => event.kind === 'requestAnswered');
  t.is(answered.length, ids.length);
});

test('a non-idempotent call is not retried after its upstream crashed', (t) => {
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
  installation.runFor(settleMilliseconds);
  upstreams.setOutcomeSelector(() => DirectOutcome.Crash);
  const service = asBrand<ServiceName>('depot');
  const id = sendRequest(installation, 'd1', { key: 'key-one', service, model: null });
  installation.runFor(1_000);
  t.is(upstreams.runs().length, 1);
  t.is(readRequest(installation, 'd1', id)?.refusal?.kind, 'upstreamFailed');
  t.false(readRequest(installation, 'd1', id)?.refusal?.notRun);
});

test('the breaker of a failing upstream opens, and other upstreams get its requests', (t) => {
  const fixture = createFixture(2, 8, 1);
  fixture.upstreams.setOutcomeSelector((_, upstream) =>
    upstream === 'u1' ? DirectOutcome.Crash : DirectOutcome.Answer,
  );
  for (let count = 0; count < 60; count += 1) {
    sendRequest(fixture.installation, 'd1', { key: 'key-one' });
    fixture.installation.runFor(150);
  }
  const failed = fixture.upstreams.runs().filter((run) => run.upstream === 'u1').length;
  t.true(failed <= 8, `${failed} attempts on the failing upstream`);
  fixture.upstreams.setOutcomeSelector(() => DirectOutcome.Answer);
  fixture.installation.runFor(60_000);
  const row = fixture.worldOf('d1').upstreams.get(asBrand<UpstreamId>('u1'));
  t.false(row?.isBreakerOpen);
  t.is(fixture.worldOf('d1').usage.get(asBrand<WorkspaceName>('one'))?.requests, 60);
});
