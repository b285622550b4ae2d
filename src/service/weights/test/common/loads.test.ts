import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { defaultPlaceSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { itemIdOf, RunState } from '../../../jobs/common/jobTables.js';
import {
  createZoneEvacuated,
  createZoneRestored,
} from '../../../places/common/evacuationRequests.js';
import type { UpstreamId } from '../../../world/common/identifiers.js';

const engineId = (name: string): UpstreamId => asBrand<UpstreamId>(name);
const loadMilliseconds = 900;

interface HeldVersion {
  readonly engine: string;
  readonly version: number;
}

/** Registers engines with the version of the model that each one holds. */
const reportVersions = (core: FleetCore, held: readonly HeldVersion[], sequence: number): void => {
  held.forEach(({ engine, version }) =>
    core.world.arrivedRegistrations.append({
      registration: testEngine(engine, { models: [{ name: 'm0', version }], sequence }),
      isDirect: false,
    }),
  );
  core.settle();
};

const nameVersion = (core: FleetCore, version: number): void =>
  core.propose(`version/${version}`, { kind: 'versionNamed', model: 'm0', version });

const orderedEngines = (core: FleetCore): string[] =>
  [...core.world.weightOrders.rows()].map(({ id }) => String(id)).sort();

const places = { ...defaultPlaceSettings, canEvacuate: true };

const createCore = (): FleetCore => {
  const core = createFleetCore({ places });
  core.propose('declare', testDeclarationCommand());
  return core;
};

test('only a part of the engines that the jobs still allow loads each new version', (t) => {
  const core = createCore();
  const names = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
  reportVersions(
    core,
    names.map((engine) => ({ engine, version: 1 })),
    1,
  );
  nameVersion(core, 2);
  core.propose('job', testJob('j2', [], { minimumVersion: 1 }));
  reportVersions(
    core,
    names.map((engine) => ({ engine, version: 2 })),
    2,
  );
  t.deepEqual(orderedEngines(core), []);

  nameVersion(core, 3);
  t.is(orderedEngines(core).length, 2);
  reportVersions(core, [{ engine: orderedEngines(core)[0]!, version: 3 }], 3);
  reportVersions(core, [{ engine: orderedEngines(core)[0]!, version: 3 }], 4);
  reportVersions(core, [{ engine: orderedEngines(core)[0]!, version: 3 }], 5);
  t.deepEqual(orderedEngines(core), [], 'three of seven hold the new version');

  nameVersion(core, 4);
  t.is(orderedEngines(core).length, 2);
  const disallowedEngines = new Set(
    names.filter(
      (engine) => core.world.registrations.get(engineId(engine))!.models[0]!.version < 3,
    ),
  );
  t.true(orderedEngines(core).every((engine) => disallowedEngines.has(engine)));
});

test('without a job that allows an older version, every engine loads the new one', (t) => {
  const core = createCore();
  reportVersions(
    core,
    ['e1', 'e2'].map((engine) => ({ engine, version: 1 })),
    1,
  );
  nameVersion(core, 2);
  const [first] = orderedEngines(core);
  t.is(orderedEngines(core).length, 1);
  reportVersions(core, [{ engine: first!, version: 2 }], 2);
  t.is(orderedEngines(core).length, 1);
  t.not(orderedEngines(core)[0], first);
});

const acceptOrder = (core: FleetCore): void => {
  const [order] = [...core.world.weightOrders.rows()];
  core.world.weightOrderFacts.append({
    upstream: order!.id,
    order: order!.order,
    kind: 'accepted',
  });
  core.settle();
};

test('an engine gets runs of a new version after the load time, before it reports it', (t) => {
  const core = createCore();
  reportVersions(core, [{ engine: 'e1', version: 1 }], 1);
  nameVersion(core, 2);
  core.propose('job', testJob('j2', [testItem('a')], { minimumVersion: 2 }));
  const run = () => core.world.runs.get(itemIdOf('j2', 'a'))!;
  acceptOrder(core);
  core.runFor(loadMilliseconds - 100);
  t.is(run().state, RunState.Waiting);

  core.runFor(200);
  t.is(run().state, RunState.Running);
  t.is(run().expectedVersion, 2);
});

test('an item that a loading engine refuses is retried on it after a delay', (t) => {
  const core = createCore();
  reportVersions(core, [{ engine: 'e1', version: 1 }], 1);
  nameVersion(core, 2);
  core.propose('job', testJob('j2', [testItem('a')], { minimumVersion: 2 }));
  const run = () => core.world.runs.get(itemIdOf('j2', 'a'))!;
  acceptOrder(core);
  core.runFor(loadMilliseconds + 100);
  const { start } = run();
  core.world.runFacts.append({
    kind: 'notRun',
    item: itemIdOf('j2', 'a'),
    start,
    reason: 'loading',
  });
  core.settle();
  t.is(run().state, RunState.Waiting);
  core.runFor(250);
  t.is(run().state, RunState.Running);
  t.is(run().start, start + 1);
});

const reportInZone = (core: FleetCore, engine: string, zone: string, version: number): void => {
  core.world.arrivedRegistrations.append({
    registration: testEngine(engine, {
      zone,
      models: [{ name: 'm0', version }],
      sequence: version,
    }),
    isDirect: false,
  });
  core.settle();
};

test('engines of an evacuated zone load no new version until the zone is restored', (t) => {
  const core = createCore();
  reportInZone(core, 'e1', 'z1', 1);
  reportInZone(core, 'e2', 'z2', 1);
  core.propose('evacuate', createZoneEvacuated(core.world, 'z1'));
  nameVersion(core, 2);
  t.deepEqual(orderedEngines(core), ['e2']);
  reportInZone(core, 'e2', 'z2', 2);
  t.deepEqual(orderedEngines(core), []);
  core.propose('restore', createZoneRestored(core.world, 'z1'));
  t.deepEqual(orderedEngines(core), ['e1']);
});

test('an engine of an evacuated zone loads the version that a run on it needs', (t) => {
  const core = createCore();
  reportInZone(core, 'e1', 'z1', 1);
  nameVersion(core, 2);
  core.propose('job', testJob('j2', [testItem('a')], { minimumVersion: 2 }));
  acceptOrder(core);
  core.runFor(loadMilliseconds + 100);
  t.is(core.world.runs.get(itemIdOf('j2', 'a'))!.state, RunState.Running);
  core.propose('evacuate', createZoneEvacuated(core.world, 'z1'));
  const [order] = [...core.world.weightOrders.rows()];
  core.world.weightOrders.remove(order!.id);
  core.settle();
  t.deepEqual(orderedEngines(core), ['e1']);
});

test('the newest job decides how far engines may lag, although a clock was set back since', (t) => {
  const core = createCore();
  const names = ['e1', 'e2', 'e3', 'e4'];
  reportVersions(
    core,
    names.map((engine) => ({ engine, version: 1 })),
    1,
  );
  nameVersion(core, 2);
  core.propose('lagging', testJob('j1', [], { minimumVersion: 1, submittedAt: 8_000 }));
  core.propose('exact', testJob('j2', [], { minimumVersion: 2, submittedAt: 6_000 }));
  // One of four engines loads at once; three more follow, as the newest job allows no lag.
  const loaded = names.map((_, position) => {
    const [engine] = orderedEngines(core);
    if (engine !== undefined) reportVersions(core, [{ engine, version: 2 }], position + 2);
    return engine;
  });
  t.deepEqual([...loaded].sort(), names);
});
