/**
 * Tests the weight versions that samples report, and the rejection of samples without valid ones.
 */
import test from 'ava';
import {
  assertDelivered,
  createScenario,
  engineNames,
  runUntil,
  steps,
  lotSpecification,
  type Scenario,
} from './rolloutScenario.js';

const lotMilliseconds = 60_000;
const seed = 21;

const discardReasons = ({ installation }: Scenario): Set<unknown> =>
  new Set(
    installation
      .events()
      .filter(({ kind }) => kind === 'sampleDiscarded')
      .map(({ subject }) => subject.reason),
  );

const swapAllWeights = ({ upstreams }: Scenario, weightVersion: number): void =>
  engineNames.forEach((name) => upstreams.inject(name, { kind: 'swapWeights', weightVersion }));

const openStreamingLot = (changes: Partial<typeof lotSpecification> = {}) => {
  const scenario = createScenario(seed);
  const trainer = scenario.trainers.open('d2', { ...lotSpecification, ...changes });
  runUntil(scenario, () => trainer.lot !== null && steps.streaming!(scenario, trainer.lot));
  return { scenario, trainer };
};

test('a stream that continues across a weight swap names both versions', (t) => {
  const { scenario, trainer } = openStreamingLot();
  swapAllWeights(scenario, 6);
  t.true(runUntil(scenario, () => trainer.isEnded, lotMilliseconds, 50));
  assertDelivered(t, scenario, trainer);
  const mixed = scenario.trainers.deliveries().filter(({ spans }) => spans.length > 1);
  t.true(mixed.length > 0);
  mixed.forEach(({ spans }) => {
    t.deepEqual(
      spans.map(({ weightVersion }) => weightVersion),
      [5, 6],
    );
    t.is(
      spans.reduce((sum, { tokens }) => sum + tokens, 0),
      50,
    );
  });
});

test('the swap policy `restart` reruns samples that were running during a weight swap', (t) => {
  const { scenario, trainer } = openStreamingLot({ swapPolicy: 'restart' });
  swapAllWeights(scenario, 6);
  t.true(runUntil(scenario, () => trainer.isEnded, lotMilliseconds, 50));
  assertDelivered(t, scenario, trainer);
  t.true(scenario.trainers.deliveries().every(({ spans }) => spans.length === 1));
  t.true(discardReasons(scenario).has('swapped'));
});

test('an answer without a weight version does not become a sample', (t) => {
  const scenario = createScenario(seed);
  Object.assign(scenario.upstreams.get('e1'), { weightVersion: null });
  const trainer = scenario.trainers.open('d2', lotSpecification);
  t.true(runUntil(scenario, () => trainer.isEnded, lotMilliseconds, 50));
  assertDelivered(t, scenario, trainer);
  t.true(discardReasons(scenario).has('noWeightVersion'));
});

test("an answer whose chunks differ from the engine's token count becomes no sample", (t) => {
  const scenario = createScenario(seed);
  const { world } = scenario.installation.daemon('d2').core;
  const { append } = world.attemptFacts;
  let changed = 0;
  Object.assign(world.attemptFacts, {
    append: (fact: Parameters<typeof append>[0]) => {
      const isFirst = fact.kind === 'usageCame' && changed === 0;
      if (isFirst) changed += 1;
      append(isFirst ? { ...fact, completionTokens: fact.completionTokens + 1 } : fact);
    },
  });
  const trainer = scenario.trainers.open('d2', lotSpecification);
  t.true(runUntil(scenario, () => trainer.isEnded, lotMilliseconds, 50));
  assertDelivered(t, scenario, trainer);
  t.is(changed, 1);
  t.true(discardReasons(scenario).has('tokensDiffer'));
});

test('a running sample that has become stale is stopped early', (t) => {
  const scenario = createScenario(seed);
  engineNames.forEach((name) =>
    Object.assign(scenario.upstreams.get(name).settings, {
      tokensPerSecond: 10,
      answerTokens: 200,
    }),
  );
  const trainer = scenario.trainers.open('d2', { ...lotSpecification, groupCount: 3 });
  scenario.installation.runFor(2_000);
  Object.assign(trainer, { trainerVersion: 9 });
  swapAllWeights(scenario, 9);
  t.true(runUntil(scenario, () => trainer.isEnded, 2 * lotMilliseconds, 50));
  assertDelivered(t, scenario, trainer);
  const cancelled = scenario.upstreams.executions().filter(({ state }) => state === 'cancelled');
  t.true(cancelled.length > 0);
  const usage = scenario.installation
    .daemon('d2')
    .core.world.usage.get(lotSpecification.workspace)!;
  t.true(usage.wastedTokens > 0);
});

test('an engine that restarts with older weights within the bound produces valid samples', (t) => {
  const { scenario, trainer } = openStreamingLot();
  scenario.upstreams.inject('e1', { kind: 'crash' });
  scenario.upstreams.inject('e1', { kind: 'swapWeights', weightVersion: 4 });
  scenario.upstreams.inject('e1', { kind: 'restart' });
  t.true(runUntil(scenario, () => trainer.isEnded, lotMilliseconds, 50));
  assertDelivered(t, scenario, trainer);
  const olderDeliveries = scenario.trainers
    .deliveries()
    .filter(({ spans }) => spans.some(({ weightVersion }) => weightVersion === 4));
  t.true(olderDeliveries.length > 0, 'version 4 is within the staleness bound of 1');
  t.true(olderDeliveries.every(({ spans }) => spans.every(({ incarnation }) => incarnation === 2)));
});
