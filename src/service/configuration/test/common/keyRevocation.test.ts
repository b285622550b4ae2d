/** Withdrawn keys and stale settings on virtual time: refused, finished and cancelled requests. */
import test from 'ava';
import fc from 'fast-check';
import {
  createInstantLog,
  freshnessMilliseconds,
} from '../../../../../standins/virtual/instantLog.js';
import { createLinks } from '../../../../../standins/virtual/links.js';
import {
  propose,
  putEdit,
  withdrawKeyEdit,
} from '../../../../../standins/virtual/settingsEdits.js';
import {
  createTestDeployment,
  createTestTree,
  digestOf,
} from '../../../../../standins/virtual/testDeployment.js';
import { createVirtualCallers } from '../../../../../standins/virtual/virtualCallers.js';
import { createVirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { createVirtualUpstreams } from '../../../../../standins/virtual/virtualUpstreams.js';
import { asBrand } from '../../../../base/common/brand.js';
import { createRandom } from '../../../../base/common/random.js';
import { noopMetrics } from '../../../../infrastructure/metrics/common/metrics.js';
import { leadershipId, noLeadership } from '../../../consensus/common/consensusTables.js';
import { createCore } from '../../../core/common/core.js';
import { UpstreamKind } from '../../../protocol/common/upstreamProtocol.js';
import { hasFreshSettings } from '../../common/keyChecks.js';
import { settingsId, settingsOf } from '../../common/settingsTables.js';

const answerMilliseconds = 500;
const engine = {
  name: 'e1',
  kind: UpstreamKind.Engine,
  service: 'model',
  zone: 'z1',
  slots: 2,
  tokensPerSecond: 100,
  answerTokens: 50,
  weightVersion: 1,
  reclaimable: false,
};

const createInstallation = () => {
  const deployment = createTestDeployment(3, 3);
  const links = createLinks(deployment, {
    withinZone: 0.1,
    betweenZones: 1,
    betweenRegions: 12,
    toClients: 3,
  });
  const log = createInstantLog();
  const upstreams = createVirtualUpstreams([engine], links);
  const callers = createVirtualCallers(links.toClients);
  const installation = createVirtualInstallation({
    deployment,
    tree: createTestTree(),
    seed: 1,
    latency: links.betweenDaemons,
    hasFakeLog: true,
    ports: [log.createPort, upstreams.createPort, callers.createPort],
  });
  upstreams.attach(installation);
  installation.runFor(2_000);
  return { installation, upstreams, callers, log };
};

const callWith = (key: string | null) => ({
  keyDigest: key === null ? null : digestOf(key),
  service: asBrand<never>('model'),
  estimatedTokens: 50,
});
const call = callWith('key-one');

test('a withdrawn key is refused on every daemon, and its running requests finish', (t) => {
  const { installation, callers } = createInstallation();
  const running = callers.send('d2', call);
  installation.runFor(50);
  propose(installation, 'd1', withdrawKeyEdit('w', 'one', 'main'));
  installation.runFor(50);
  const refused = ['d1', 'd2', 'd3'].map((name) => callers.send(name, call));
  const other = callers.send('d3', callWith('key-two'));
  installation.runFor(4 * answerMilliseconds);
  refused.forEach(({ refusal }) =>
    t.deepEqual([refusal?.kind, refusal?.notRun], ['withdrawnKey', true]),
  );
  t.is(running.outcome, 'answered');
  t.is(other.outcome, 'answered');
});

test('a running request is cancelled if onWithdrawal changed to cancel after it started', (t) => {
  const { installation, callers, upstreams } = createInstallation();
  const running = callers.send('d2', call);
  installation.runFor(50);
  const policy = 'workspaces.one.policy.onWithdrawal';
  propose(installation, 'd1', putEdit('p', 1, policy, 'cancel'));
  propose(installation, 'd1', withdrawKeyEdit('w', 'one', 'main'));
  installation.runFor(50);
  t.deepEqual([running.outcome, running.refusal?.kind], ['cancelled', 'withdrawnKey']);
  t.false(running.refusal?.notRun);
  installation.runFor(50);
  t.is(upstreams.executions()[0]?.state, 'cancelled');
});

test('a waiting request is refused as not run as soon as its key is withdrawn', (t) => {
  const { installation, callers } = createInstallation();
  const calls = [1, 2, 3].map(() => callers.send('d2', call));
  installation.runFor(50);
  propose(installation, 'd1', withdrawKeyEdit('w', 'one', 'main'));
  installation.runFor(50);
  const ended = calls.filter(({ outcome }) => outcome !== null);
  t.deepEqual(
    ended.map(({ refusal }) => [refusal?.kind, refusal?.notRun]),
    [['withdrawnKey', true]],
  );
});

test('an isolated daemon refuses keys from its freshness deadline until it reconnects', (t) => {
  const { installation, callers, log } = createInstallation();
  log.isolate('d2');
  installation.runFor(freshnessMilliseconds + 1);
  const stale = callers.send('d2', call);
  const elsewhere = callers.send('d3', call);
  installation.runFor(2 * answerMilliseconds);
  t.deepEqual([stale.refusal?.kind, stale.refusal?.notRun], ['staleConfiguration', true]);
  t.is(elsewhere.outcome, 'answered');
  log.rejoin('d2');
  installation.runFor(50);
  const retried = callers.send('d2', call);
  installation.runFor(2 * answerMilliseconds);
  t.is(retried.outcome, 'answered');
});

test('a daemon with stale settings serves calls without a key to an open service', (t) => {
  const { installation, callers, log } = createInstallation();
  propose(installation, 'd1', putEdit('o', 1, 'services.model.open', true));
  installation.runFor(50);
  log.isolate('d2');
  installation.runFor(freshnessMilliseconds + 1);
  const open = callers.send('d2', callWith(null));
  installation.runFor(2 * answerMilliseconds);
  t.is(open.outcome, 'answered');
});

test('stale settings cancel running requests only if the policy is cancel', (t) => {
  const { installation, callers, log } = createInstallation();
  const policy = 'workspaces.one.policy.onWithdrawal';
  propose(installation, 'd1', putEdit('p', 1, policy, 'cancel'));
  installation.runFor(50);
  log.isolate('d2');
  const { leadership } = installation.daemon('d2').core.world;
  const { freshnessDeadline } = leadership.get(leadershipId)!;
  installation.runFor(freshnessDeadline - installation.now() - 200);
  const calls = [call, callWith('key-two')].map((each) => callers.send('d2', each));
  installation.runFor(190);
  t.deepEqual(
    calls.map(({ outcome }) => outcome),
    [null, null],
  );
  installation.runFor(1_000);
  t.deepEqual(
    calls.map(({ outcome, refusal }) => [outcome, refusal?.kind]),
    [
      ['cancelled', 'staleConfiguration'],
      ['answered', undefined],
    ],
  );
});

test('a restarted daemon is not fresh until the log reaches the revision it served before', (t) => {
  const deployment = createTestDeployment(1, 1);
  const tree = createTestTree();
  const { world, ticker } = createCore(
    {
      deployment,
      self: deployment.daemons[0]!,
      tree,
      restored: { revision: 5, tree: { ...tree, workspaces: {} }, isAgreed: true },
      incarnation: 2,
      random: createRandom(1),
      metrics: noopMetrics,
    },
    0,
  );
  world.leadership.put({ ...noLeadership, freshnessDeadline: 1_000 });
  [1, 4, 5].forEach((revision) => {
    world.settings.put({ id: settingsId, revision, tree, isAgreed: true });
    t.true(ticker.tick(10).isOk());
    t.is(hasFreshSettings(world, 10), revision >= 5);
    t.is(world.keys.size(), 0);
  });
  world.settings.put({ id: settingsId, revision: 6, tree, isAgreed: true });
  t.true(ticker.tick(10).isOk());
  t.is(world.keys.size(), 2);
  t.is(settingsOf(world).revision, 6);
});

const isolationArbitrary = fc.record({
  isolatedAt: fc.integer({ min: 0, max: 3_000 }),
  withdrawnAt: fc.integer({ min: 0, max: 3_000 }),
  rejoinedAt: fc.integer({ min: 3_000, max: 9_000 }),
  calls: fc.array(fc.integer({ min: 0, max: 9_000 }), { minLength: 5, maxLength: 20 }),
});

test('random isolation: no work starts for a withdrawn key after the freshness bound', (t) => {
  const property = fc.property(isolationArbitrary, (schedule) => {
    const { installation, callers, upstreams, log } = createInstallation();
    const start = installation.now();
    installation.schedule(schedule.isolatedAt, () => log.isolate('d2'));
    installation.schedule(schedule.rejoinedAt, () => log.rejoin('d2'));
    installation.schedule(schedule.withdrawnAt, () =>
      propose(installation, 'd1', withdrawKeyEdit('w', 'one', 'main')),
    );
    schedule.calls.forEach((at) => installation.schedule(at, () => callers.send('d2', call)));
    installation.runFor(12_000);
    const latest = start + schedule.withdrawnAt + freshnessMilliseconds + 20;
    const refused = callers.calls().filter(({ outcome }) => outcome === 'refused');
    return (
      upstreams.executions().every(({ startedAt }) => startedAt <= latest) &&
      refused.every(({ request, refusal }) =>
        refusal!.notRun
          ? upstreams.executions().every((execution) => execution.request !== request)
          : true,
      )
    );
  });
  t.notThrows(() => fc.assert(property, { seed: 20_261_204, numRuns: 60 }));
});
