import test from 'ava';
import { createRandom } from '../../../../base/common/random.js';
import { asBrand } from '../../../../base/common/brand.js';
import type { FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import {
  createHomeCore,
  declarationWithHomes,
  reportUpstreams,
} from '../../../places/test/common/homesFixture.js';
import type { UpstreamId } from '../../../world/common/identifiers.js';

const zones = ['z1', 'z2', 'z3'];
const regionOf: Readonly<Record<string, string>> = { z1: 'east', z2: 'west', z3: 'north' };

/** Declares the workspaces `yard` and `free`; only the first has home regions. */
const createCore = (yardHomes: readonly string[]): FleetCore => {
  const core = createHomeCore({});
  const declaration = declarationWithHomes(2, { workspace: yardHomes });
  core.propose('workspaces', {
    ...testDeclarationCommand(2),
    declaration: {
      ...declaration,
      workspaces: [
        ...declaration.workspaces!,
        { name: 'free', keys: [], priority: null, homeRegions: [] },
        { name: 'north', keys: [], priority: null, homeRegions: ['north'] },
      ],
    },
  });
  return core;
};

/** Reports one engine for each zone given, `e1`, `e2` and so on. */
const reportEngines = (core: FleetCore, engineZones: readonly string[]): void =>
  reportUpstreams(
    core,
    Object.fromEntries(engineZones.map((zone, index) => [`e${index + 1}`, { zone, slots: 2 }])),
  );

const submit = (
  core: FleetCore,
  job: string,
  model: string,
  workspace: string,
  items: number,
): void =>
  core.propose(
    `job-${job}`,
    testJob(
      job,
      Array.from({ length: items }, (_, number) => testItem(`${job}-${number}`)),
      { model, workspace, submittedAt: core.now() },
    ),
  );

const placementOf = (core: FleetCore, engine: string): string | undefined =>
  core.world.placements.get(asBrand<UpstreamId>(engine))?.model;

const placementsIn = (core: FleetCore, zone: string): string[] =>
  [...core.world.registrations.rows()]
    .filter((row) => row.zone === zone)
    .map(({ id }) => placementOf(core, String(id))!)
    .sort();

const describePlacements = (core: FleetCore): string =>
  [...core.world.placements.rows()].map(({ id, model }) => `${id} ${model}`).join(', ');

const placeAll = (core: FleetCore, model: string): void =>
  [...core.world.placements.rows()].forEach(({ id }) => core.world.placements.put({ id, model }));

const reportFor = (core: FleetCore, engineZones: readonly string[], rounds: number): void => {
  for (let round = 0; round < rounds; round += 1) {
    core.runFor(100);
    reportEngines(core, engineZones);
  }
};

test('a model is given an engine in the home regions of its jobs', (t) => {
  const engineZones = ['z2', 'z2', 'z2', 'z2', 'z2', 'z1'];
  const core = createCore(['east']);
  reportEngines(core, engineZones);
  placeAll(core, 'm1');
  submit(core, 'small', 'm0', 'yard', 1);
  submit(core, 'large', 'm1', 'free', 50);
  reportFor(core, engineZones, 5);
  t.deepEqual(placementsIn(core, 'z1'), ['m0'], 'demand is small, but runs nowhere else');
  t.true(placementsIn(core, 'z2').includes('m1'));
});

test('a new engine in the home regions goes to the model that lacks one there', (t) => {
  const core = createCore(['east']);
  reportEngines(core, ['z2', 'z2', 'z2']);
  submit(core, 'small', 'm0', 'yard', 1);
  submit(core, 'large', 'm1', 'free', 50);
  reportEngines(core, ['z2', 'z2', 'z2', 'z1']);
  t.is(placementOf(core, 'e4'), 'm0');
});

test('models that share home regions each have an engine there', (t) => {
  const engineZones = ['z2', 'z2', 'z1', 'z1'];
  const core = createCore(['east']);
  reportEngines(core, engineZones);
  placeAll(core, 'm1');
  submit(core, 'a', 'm0', 'yard', 1);
  submit(core, 'b', 'm1', 'yard', 30);
  reportFor(core, engineZones, 5);
  t.deepEqual(placementsIn(core, 'z1'), ['m0', 'm1']);
});

test('without jobs that have home regions, engines are placed by demand alone', (t) => {
  const engineZones = ['z1', 'z1', 'z2', 'z2', 'z3', 'z3'];
  const placeWith = (yardHomes: readonly string[]): string => {
    const core = createCore(yardHomes);
    reportEngines(core, engineZones);
    submit(core, 'a', 'm0', 'free', 4);
    submit(core, 'b', 'm1', 'free', 20);
    reportFor(core, engineZones, 5);
    return describePlacements(core);
  };
  t.is(placeWith(['east']), placeWith([]));
});

[1, 2, 3, 4, 5, 6, 7, 8].forEach((seed) => {
  test(`each model has engines where its jobs may run, and engines stay there, seed ${seed}`, (t) => {
    const random = createRandom(seed);
    const pick = <Value>(values: readonly Value[]): Value =>
      values[random.nextInteger(values.length)]!;
    const engineZones = [...zones, ...zones, ...Array.from({ length: 6 }, () => pick(zones))];
    const core = createCore(pick([['east'], ['east', 'west'], ['west', 'north']]));
    reportEngines(core, engineZones);
    placeAll(core, pick(['m0', 'm1']));
    const jobs = Array.from({ length: 6 }, (_, number) => ({
      name: `job-${number}`,
      model: pick(['m0', 'm1']),
      workspace: pick(['yard', 'free', 'north']),
    }));
    jobs.forEach(({ name, model, workspace }) =>
      submit(core, name, model, workspace, 1 + random.nextInteger(40)),
    );
    reportFor(core, engineZones, 15);

    const homesOf: Readonly<Record<string, readonly string[]>> = {
      yard: [...core.world.declaredWorkspaces.rows()].find(({ id }) => String(id) === 'yard')!
        .homeRegions,
      free: Object.values(regionOf),
      north: ['north'],
    };
    jobs.forEach(({ model, workspace }) => {
      const placed = zones
        .filter((zone) => homesOf[workspace]!.includes(regionOf[zone]!))
        .flatMap((zone) => placementsIn(core, zone));
      t.true(placed.includes(model), `${model} of ${workspace}: ${describePlacements(core)}`);
    });
    const settled = describePlacements(core);
    reportFor(core, engineZones, 10);
    t.is(describePlacements(core), settled, 'no engine moves to and fro');
  });
});
