/**
 * A burst of crashes: all engines crash in series, again and again, while they run the samples of a
 * lot. Samples are handed in for later, so they are owed: once it is calm, each is placed again and
 * delivered, and the burst leaves no suspect behind.
 */
import test from 'ava';
import {
  assertDelivered,
  createScenario,
  engineNames,
  lotSpecification,
  runUntil,
  steps,
  type Scenario,
} from './rolloutScenario.js';

const bursts = 8;
const crashIntervalMilliseconds = 150;
const restartMilliseconds = 400;
const lotMilliseconds = 200_000;
const calmMilliseconds = 30_000;

/** Crashes every engine that runs something, one after another. */
const crashInSeries = (scenario: Scenario): void =>
  Array.from({ length: bursts }, () => engineNames)
    .flat()
    .forEach((name) => {
      scenario.upstreams.inject(name, { kind: 'crash' });
      scenario.installation.runFor(crashIntervalMilliseconds);
      scenario.installation.schedule(restartMilliseconds, () =>
        scenario.upstreams.inject(name, { kind: 'restart' }),
      );
    });

const countCrashedAttempts = ({ installation }: Scenario): number =>
  installation
    .events()
    .filter(({ kind, subject }) => kind === 'attemptEnded' && subject.outcome === 'broken').length;

[11, 12, 13].forEach((seed) =>
  test.serial(`samples under which engines crashed are delivered, seed ${seed}`, (t) => {
    const scenario = createScenario(seed);
    const trainer = scenario.trainers.open('d2', lotSpecification);
    t.true(
      runUntil(scenario, () => trainer.lot !== null && steps.streaming!(scenario, trainer.lot)),
    );
    crashInSeries(scenario);
    t.true(countCrashedAttempts(scenario) >= bursts, 'the crashes hit running samples');
    const calmAt = scenario.installation.now();
    t.true(
      runUntil(scenario, () => trainer.isEnded, lotMilliseconds, 50),
      'the lot is acknowledged',
    );
    const tookMilliseconds = scenario.installation.now() - calmAt;
    t.true(tookMilliseconds < calmMilliseconds, `${tookMilliseconds} ms`);
    assertDelivered(t, scenario, trainer);
    scenario.installation
      .runningNames()
      .forEach((name) =>
        t.is(scenario.installation.daemon(name).core.world.crashRecords.size(), 0, name),
      );
  }),
);
