/**
 * Injects each fault at each step in the life of a sample. Guards against lost, duplicated,
 * corrupted or stale samples.
 */
import test from 'ava';
import {
  assertDelivered,
  createScenario,
  faults,
  runUntil,
  steps,
  lotSpecification,
} from './rolloutScenario.js';

const lotMilliseconds = 200_000;
const seed = 11;

Object.entries(steps).forEach(([step, isReached]) =>
  Object.entries(faults).forEach(([fault, inject]) =>
    test.serial(`${fault} when the first sample is ${step}`, (t) => {
      const scenario = createScenario(seed);
      const trainer = scenario.trainers.open('d2', lotSpecification);
      const reached = runUntil(
        scenario,
        () => trainer.lot !== null && isReached(scenario, trainer.lot),
      );
      t.true(reached, 'the step is reached');
      inject(scenario, trainer);
      t.true(
        runUntil(scenario, () => trainer.isEnded, lotMilliseconds, 50),
        'the lot is acknowledged',
      );
      assertDelivered(t, scenario, trainer);
    }),
  ),
);
