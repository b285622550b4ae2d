/**
 * Guards against holders outside the home regions, in fewer zones than possible, or of daemons that do
 * not run.
 */
import test from 'ava';
import fc from 'fast-check';
import { asBrand } from '../../../../base/common/brand.js';
import {
  defaultPlaceSettings,
  type FleetSettings,
} from '../../../../infrastructure/settings/common/fleetSettings.js';
import { DaemonState } from '../../../membership/common/membershipTables.js';
import {
  areEnoughHolders,
  chooseHolders,
  computeHolderRequirement,
  countZones,
  isPossibleHolder,
  isResponsive,
  type HolderCandidate,
} from '../../common/holderChoice.js';

const seed = 20_261_206;

const candidates: fc.Arbitrary<HolderCandidate[]> = fc
  .array(
    fc.record({
      zone: fc.constantFrom('z1', 'z2', 'z3'),
      region: fc.constantFrom('r1', 'r2'),
      isControl: fc.boolean(),
      isSelf: fc.constant(false),
      state: fc.constantFrom(...Object.values(DaemonState)),
    }),
    { maxLength: 12 },
  )
  .map((rows) => rows.map((row, index) => ({ ...row, id: asBrand(`d${index}`) })));

const settings: Pick<FleetSettings, 'voterCount' | 'places'> = {
  voterCount: 5,
  places: { ...defaultPlaceSettings, toleratedZoneLosses: 1 },
};

test('holders run, and are in as many zones as there are', (t) => {
  fc.assert(
    fc.property(candidates, fc.string(), (rows, job) => {
      const possible = rows.filter((row) => isPossibleHolder(row, ['r1']));
      t.true(possible.every(({ isControl, region }) => isControl && region === 'r1'));
      const running = possible.filter(isResponsive);
      const chosen = chooseHolders(job, possible, [], 3);
      t.true(chosen.every(({ state }) => state === 'alive' || state === 'unknown'));
      t.is(chosen.length, Math.min(3, running.length));
      t.is(new Set(chosen).size, chosen.length);
      if (chosen.length === 3) t.is(countZones(chosen), Math.min(3, countZones(running)));
      const requirement = computeHolderRequirement(settings, possible);
      t.is(areEnoughHolders(chosen, requirement), running.length >= 3);
    }),
    { numRuns: 500, seed },
  );
});

test('the same job chooses the same holders, whatever the order of the daemons', (t) => {
  fc.assert(
    fc.property(candidates, fc.string(), (rows, job) => {
      const forward = chooseHolders(job, rows, [], 3);
      const backward = chooseHolders(job, [...rows].reverse(), [], 3);
      t.deepEqual(
        forward.map(({ id }) => id),
        backward.map(({ id }) => id),
      );
    }),
    { numRuns: 200, seed },
  );
});

test('jobs are spread over the daemons', (t) => {
  const rows = Array.from({ length: 9 }, (_, index) => ({
    id: asBrand<HolderCandidate['id']>(`d${index}`),
    zone: `z${index % 3}`,
    region: 'r1',
    isControl: true,
    isSelf: false,
    state: DaemonState.Alive,
  }));
  const uses = new Map<string, number>();
  Array.from({ length: 300 }, (_, job) => chooseHolders(`job-${job}`, rows, [], 3))
    .flat()
    .forEach(({ id }) => uses.set(id, (uses.get(id) ?? 0) + 1));
  // 100 each on average.
  rows.forEach(({ id }) => t.true(uses.get(id)! > 60 && uses.get(id)! < 140, id));
});
