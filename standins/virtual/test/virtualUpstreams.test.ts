/** Fake upstreams, callers and trainers exercise production cores on virtual time. */
import test from 'ava';
import { asBrand } from '../../../src/base/common/brand.js';
import {
  UpstreamKind,
  UpstreamState,
} from '../../../src/service/protocol/common/upstreamProtocol.js';
import { createLinks } from '../links.js';
import {
  createTestDeployment,
  createTestTree,
  digestOf,
  settleMilliseconds,
} from '../testDeployment.js';
import { createInstantLog } from '../instantLog.js';
import { createVirtualBodies } from '../virtualBodies.js';
import { createVirtualCallers } from '../virtualCallers.js';
import { createVirtualInstallation } from '../virtualInstallation.js';
import { createVirtualTrainers } from '../virtualTrainers.js';
import { ExecutionState, UpstreamFaultKind } from '../virtualUpstream.js';
import { createVirtualUpstreams } from '../virtualUpstreams.js';

const engine = (name: string, weightVersion: number | null = 1) => ({
  name,
  kind: UpstreamKind.Engine,
  service: 'model',
  zone: 'z1',
  slots: 4,
  tokensPerSecond: 100,
  answerTokens: 50,
  weightVersion,
  reclaimable: false,
});

const createTestInstallation = (engines = [engine('e1'), engine('e2')]) => {
  const deployment = createTestDeployment(3, 3);
  const links = createLinks(deployment, {
    withinZone: 0.1,
    betweenZones: 1,
    betweenRegions: 12,
    toClients: 3,
  });
  const upstreams = createVirtualUpstreams(engines, links);
  const callers = createVirtualCallers(links.toClients);
  const bodies = createVirtualBodies();
  const trainers = createVirtualTrainers(links.toClients, bodies);
  const installation = createVirtualInstallation({
    deployment,
    tree: createTestTree(),
    seed: 1,
    latency: links.betweenDaemons,
    hasFakeLog: true,
    ports: [
      createInstantLog().createPort,
      upstreams.createPort,
      callers.createPort,
      bodies.createPort,
      trainers.createPort,
    ],
  });
  upstreams.attach(installation);
  installation.runFor(settleMilliseconds);
  return { installation, upstreams, callers, trainers };
};

const request = {
  keyDigest: digestOf('key-one'),
  service: asBrand<never>('model'),
  estimatedTokens: 50,
};

test('a request is answered with the tokens that the engine generated', (t) => {
  const { installation, upstreams, callers } = createTestInstallation();
  const call = callers.send('d1', request);
  installation.runFor(2_000);
  t.is(call.outcome, 'answered');
  const [execution] = upstreams.executions();
  t.is(execution?.state, ExecutionState.Ended);
  t.deepEqual(execution?.spans, [{ weightVersion: 1, incarnation: 1, tokens: 50 }]);
});

test('an engine that swaps its weights reports both versions', (t) => {
  const { installation, upstreams, callers } = createTestInstallation([engine('e1')]);
  callers.send('d1', request);
  installation.runFor(300);
  upstreams.inject('e1', { kind: UpstreamFaultKind.SwapWeights, weightVersion: 2 });
  installation.runFor(2_000);
  t.deepEqual(
    upstreams.executions()[0]?.spans.map((span) => span.weightVersion),
    [1, 2],
  );
});

test('a crash fails a running request, and the refusal has notRun false', (t) => {
  const { installation, upstreams, callers } = createTestInstallation();
  const call = callers.send('d1', request);
  installation.runFor(300);
  const [first] = upstreams.executions();
  upstreams.inject(first!.upstream, { kind: UpstreamFaultKind.Crash });
  installation.runFor(3_000);
  t.is(first?.state, ExecutionState.Crashed);
  t.is(call.outcome, 'failed');
  t.false(call.refusal?.notRun);
});

test('an engine that refuses requests runs none of them', (t) => {
  const { installation, upstreams, callers } = createTestInstallation([engine('e1')]);
  upstreams.inject('e1', { kind: UpstreamFaultKind.Refuse });
  const call = callers.send('d1', request);
  installation.runFor(30_000);
  t.is(call.outcome, 'refused');
  t.true(call.refusal?.notRun);
  t.is(upstreams.executions().length, 0);
});

test('a request to an unresponsive engine fails after the progress deadline', (t) => {
  const { installation, upstreams, callers } = createTestInstallation([engine('e1')]);
  upstreams.inject('e1', { kind: UpstreamFaultKind.Silence });
  const call = callers.send('d1', request);
  installation.runFor(130_000);
  t.is(call.outcome, 'failed');
  t.false(call.refusal?.notRun);
});

test('a reclaimed engine announces that it is leaving and is removed after the notice', (t) => {
  const { installation, upstreams } = createTestInstallation();
  upstreams.inject('e1', { kind: UpstreamFaultKind.Reclaim, notice: 2_500 });
  installation.runFor(2_000);
  const id = asBrand<never>('e1');
  t.is(installation.daemon('d1').core.world.upstreams.get(id)?.state, UpstreamState.Leaving);
  installation.runFor(3_000);
  t.is(installation.daemon('d1').core.world.upstreams.get(id), undefined);
});

test('a trainer receives every sample of its lot', (t) => {
  const { installation, trainers } = createTestInstallation();
  const trainer = trainers.open('d2', {
    workspace: asBrand('one'),
    service: asBrand('model'),
    model: 'model',
    step: 1,
    trainerVersion: 1,
    stalenessBound: 1,
    groupCount: 3,
    groupSize: 4,
    maximumTokens: 50,
    remaining: 60_000,
  });
  installation.runFor(20_000);
  t.not(trainer.finishedAt, null);
  t.is(new Set(trainers.deliveries().map(({ sample }) => sample)).size, 12);
});

test('callers of a stopped daemon lose their connection', (t) => {
  const { installation, callers } = createTestInstallation();
  const call = callers.send('d1', request);
  installation.runFor(100);
  installation.stop('d1');
  callers.disconnectCallers('d1', installation.now());
  t.is(call.outcome, 'connectionLost');
});
