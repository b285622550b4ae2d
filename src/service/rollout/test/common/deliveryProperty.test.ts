/** Guards against lost or duplicated samples when random faults occur at random times. */
import test from 'ava';
import fc from 'fast-check';
import {
  assertDelivered,
  createScenario,
  faults,
  runUntil,
  lotSpecification,
} from './rolloutScenario.js';

const lotMilliseconds = 600_000;
const propertySeed = 20_261_204;
const runCount = 40;

const faultPlan = fc.array(
  fc.record({
    fault: fc.constantFrom(...Object.keys(faults)),
    delay: fc.integer({ min: 0, max: 2_500 }),
  }),
  { minLength: 1, maxLength: 6 },
);

test('the multiset of acknowledged samples equals the lot in every order of faults', (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 1_000_000 }), faultPlan, (seed, plan) => {
      const scenario = createScenario(seed);
      const trainer = scenario.trainers.open('d2', lotSpecification);
      plan.forEach(({ fault, delay }) => {
        scenario.installation.runFor(delay);
        faults[fault]!(scenario, trainer);
      });
      t.true(
        runUntil(scenario, () => trainer.isEnded, lotMilliseconds, 50),
        JSON.stringify(plan),
      );
      assertDelivered(t, scenario, trainer);
    }),
    { seed: propertySeed, numRuns: runCount },
  );
});
