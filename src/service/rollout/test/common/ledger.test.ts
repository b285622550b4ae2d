/** Tests the ledger under permanent losses, and its deadlines, conflicts and retention. */
import test from 'ava';
import { SubmissionState } from '../../common/runRows.js';
import { submitLot } from '../../common/submissionSystem.js';
import { createLotOpened } from '../../common/openLot.js';
import {
  assertDelivered,
  createScenario,
  engineNames,
  runUntil,
  steps,
  lotSpecification,
  type Scenario,
} from './rolloutScenario.js';

const lotMilliseconds = 120_000;
const seed = 5;

const worldOf = ({ installation }: Scenario, name: string) => installation.daemon(name).core.world;

const openLotUntil = (step: string, changes: Partial<typeof lotSpecification> = {}) => {
  const scenario = createScenario(seed);
  const trainer = scenario.trainers.open('d2', { ...lotSpecification, ...changes });
  runUntil(scenario, () => trainer.lot !== null && steps[step]!(scenario, trainer.lot));
  return { scenario, trainer };
};

const runUntilEnded = ({ scenario, trainer }: ReturnType<typeof openLotUntil>): boolean =>
  runUntil(scenario, () => trainer.isEnded, lotMilliseconds, 50);

['planned', 'streaming', 'complete', 'acknowledged'].forEach((step) =>
  test(`an owner that is permanently lost when a sample is ${step} is replaced`, (t) => {
    const opened = openLotUntil(step);
    opened.scenario.installation.stop('d2');
    opened.scenario.bodies.wipe('d2');
    t.true(runUntilEnded(opened));
    assertDelivered(t, opened.scenario, opened.trainer);
    const lot = worldOf(opened.scenario, 'd1').lots.get(opened.trainer.lot!)!;
    t.not(lot.owner, 'd2' as never);
    t.is(lot.epoch, 1);
  }),
);

test('a daemon whose disk cannot be written is not used for copies', (t) => {
  const opened = openLotUntil('planned');
  opened.scenario.bodies.failWrites('d1');
  t.true(runUntilEnded(opened));
  assertDelivered(t, opened.scenario, opened.trainer);
  const world = worldOf(opened.scenario, 'd3');
  const holders = new Set([...world.samples.rows()].flatMap((sample) => sample.holders));
  t.false(holders.has('d1' as never));
});

test('every delivered sample is stored on two disks', (t) => {
  const opened = openLotUntil('planned');
  t.true(runUntilEnded(opened));
  const world = worldOf(opened.scenario, 'd3');
  t.true([...world.samples.rows()].every((sample) => sample.holders.length === 2));
});

test('a lot fails at its deadline, and the trainer is notified', (t) => {
  const scenario = createScenario(seed);
  engineNames.forEach((name) => scenario.upstreams.inject(name, { kind: 'crash' }));
  const trainer = scenario.trainers.open('d2', { ...lotSpecification, remaining: 10_000 });
  scenario.installation.runFor(20_000);
  t.is(trainer.refusal, 'failed');
  const lot = worldOf(scenario, 'd3').lots.get(trainer.lot!)!;
  t.is(lot.failure, 'deadlinePassed');
  t.is(scenario.trainers.deliveries().length, 0);
});

test('a second request with the same identifier but another specification is a conflict', (t) => {
  const { scenario } = openLotUntil('streaming');
  const world = worldOf(scenario, 'd1');
  const command = createLotOpened(world, { ...lotSpecification, groupCount: 7 }, 'prompts');
  const row = submitLot(world, command, scenario.installation.now());
  t.is(row.state, SubmissionState.Refused);
  t.is(row.refusal?.kind, 'lotConflict');
  t.is(world.lots.get(row.id)?.groupCount, 6);
});

test('an acknowledged lot and its bodies are removed on all daemons after its retention', (t) => {
  const opened = openLotUntil('planned');
  t.true(runUntilEnded(opened));
  opened.scenario.installation.runFor(70_000);
  ['d1', 'd2', 'd3'].forEach((name) => {
    const world = worldOf(opened.scenario, name);
    t.is(world.lots.size(), 0);
    t.is(world.samples.size(), 0);
    t.is(world.batches.size(), 0);
    t.is(world.lotClocks.size(), 0);
    t.is(world.bodyCopies.size(), 0);
    t.is(world.sampleRuns.size(), 0);
    t.is(opened.scenario.bodies.bodiesOf(name).size, 0);
    t.is(opened.scenario.bodies.portOf(name).size(), 0);
  });
});

test('a lot runs no more samples concurrently than its window', (t) => {
  const scenario = createScenario(seed);
  const trainer = scenario.trainers.open('d2', { ...lotSpecification, groupCount: 60 });
  const world = worldOf(scenario, 'd2');
  let peakRunning = 0;
  runUntil(
    scenario,
    () => {
      peakRunning = Math.max(peakRunning, world.sampleRuns.size());
      return trainer.isEnded;
    },
    lotMilliseconds,
    100,
  );
  t.true(trainer.isEnded);
  const slots = 12;
  t.true(peakRunning >= slots, 'all engine slots are in use');
  t.true(peakRunning <= slots * 1.25, `${peakRunning} samples ran concurrently`);
  assertDelivered(t, scenario, trainer);
});

test('a repeated fetch of a cursor returns the same batch if the version is unchanged', (t) => {
  const opened = openLotUntil('planned');
  Object.assign(opened.trainer, { answersToDrop: 3 });
  t.true(runUntilEnded(opened));
  assertDelivered(t, opened.scenario, opened.trainer);
  const withdrawn = opened.scenario.installation
    .events()
    .filter(({ kind }) => kind === 'batchWithdrawn');
  t.is(withdrawn.length, 0);
});

test('a batch whose answer was lost is replaced if it has become stale', (t) => {
  const opened = openLotUntil('planned');
  Object.assign(opened.trainer, { answersToDrop: 1 });
  const { scenario, trainer } = opened;
  runUntil(scenario, () => trainer.answersToDrop === 0, lotMilliseconds, 1);
  Object.assign(trainer, { trainerVersion: 8 });
  engineNames.forEach((name) =>
    scenario.upstreams.inject(name, { kind: 'swapWeights', weightVersion: 8 }),
  );
  t.true(runUntilEnded(opened));
  assertDelivered(t, scenario, trainer);
  const world = worldOf(scenario, 'd2');
  t.is(world.batches.where('lot', trainer.lot!).at(0)?.cursor, 0);
  t.true(scenario.installation.events().some(({ kind }) => kind === 'batchWithdrawn'));
});
