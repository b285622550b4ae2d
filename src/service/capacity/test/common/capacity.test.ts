import test from 'ava';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import type { ScalingDeclaration } from '../../../declaration/common/declaration.js';
import { planCapacity } from '../../common/capacityPlan.js';
import type { CapacityOrderRow } from '../../common/capacityTables.js';

const scaling: ScalingDeclaration = {
  minimum: 1,
  maximum: 3,
  startMilliseconds: 4_000,
  reclaimablePrice: 0.2,
  zonePrices: { z1: 1, z2: 0.9, z3: 1.2 },
};
const steady = { byZone: new Map([['z1', 2]]), places: 4, placesEach: 2 };

const plan = (demand: number): Record<string, number> =>
  Object.fromEntries(planCapacity(scaling, steady, demand));

test('no more is planned than what the steady upstreams lack, the cheapest zone first', (t) => {
  t.deepEqual(plan(4), { z1: 0, z2: 0, z3: 0 });
  t.deepEqual(plan(5), { z1: 0, z2: 1, z3: 0 });
  t.deepEqual(plan(9), { z1: 1, z2: 1, z3: 1 });
});

test('the bound of a zone counts both kinds of upstreams', (t) => {
  t.deepEqual(plan(1_000), { z1: 1, z2: 3, z3: 3 });
});

const items = (count: number) =>
  Array.from({ length: count }, (_, number) => testItem(`item-${number}`));

const ordersOf = (core: FleetCore): CapacityOrderRow[] => [...core.world.capacityOrders.rows()];

const inFlight = (core: FleetCore): string[] =>
  ordersOf(core)
    .filter((row) => row.isInFlight)
    .map(({ zone, count }) => `${zone}: ${count}`)
    .sort();

const accept = (core: FleetCore): void => {
  ordersOf(core)
    .filter((row) => row.isInFlight)
    .forEach(({ id, count }) => core.world.capacityFacts.append({ kind: 'accepted', id, count }));
  core.settle();
};

/** Lets time pass while the engine goes on reporting. */
const runFor = (core: FleetCore, duration: number): void => {
  const end = core.now() + duration;
  while (core.now() < end) {
    const registration = testEngine('e1', { sequence: core.now() });
    core.world.arrivedRegistrations.append({ registration, isDirect: false });
    core.runFor(Math.min(500, end - core.now()));
  }
};

const createCore = (): FleetCore => {
  const core = createFleetCore({ canOrderCapacity: true });
  core.propose('declare', testDeclarationCommand());
  runFor(core, 1_000);
  return core;
};

test('nothing is ordered while the places are half as many again as the items', (t) => {
  const core = createCore();
  core.propose('job', testJob('j', items(1)));
  runFor(core, 2_000);
  t.deepEqual(ordersOf(core), []);
});

test('a leader orders what a job lacks, once, under its fencing number', (t) => {
  const core = createCore();
  core.propose('job', testJob('j', items(5)));
  runFor(core, 1_000);
  t.deepEqual(inFlight(core), ['z1: 1', 'z2: 1', 'z3: 1']);
  t.true(ordersOf(core).every(({ fencing }) => fencing > 0));
  accept(core);
  runFor(core, 3_000);
  t.deepEqual(inFlight(core), []);
});

test('an order that is refused is given again later, as is one whose upstream does not come', (t) => {
  const core = createCore();
  core.propose('job', testJob('j', items(2)));
  runFor(core, 1_000);
  const [order] = ordersOf(core);
  core.world.capacityFacts.append({ kind: 'failed', id: order!.id, reason: 'status 409' });
  runFor(core, 1_000);
  t.deepEqual(inFlight(core), []);
  runFor(core, 2_500);
  t.deepEqual(inFlight(core), ['z2: 1']);

  accept(core);
  runFor(core, 7_500);
  t.deepEqual(inFlight(core), []);
  runFor(core, 1_000);
  t.deepEqual(inFlight(core), ['z2: 1']);
});

test('demand that is over for long lowers the order', (t) => {
  const core = createCore();
  core.propose('job', testJob('j', items(2)));
  runFor(core, 1_000);
  t.deepEqual(inFlight(core), ['z2: 1']);
  core.propose('end', { kind: 'jobEnded', job: 'j' });
  for (let second = 0; second < 35; second += 1) {
    accept(core);
    runFor(core, 1_000);
  }
  t.deepEqual(
    ordersOf(core).map(({ count, accepted }) => ({ count, accepted })),
    [{ count: 0, accepted: 0 }],
  );
});

test('a new leader does not lower what its predecessor ordered before it has seen the demand', (t) => {
  const core = createCore();
  ['e2', 'e3'].forEach((engine) =>
    core.world.arrivedRegistrations.append({
      registration: testEngine(engine, { zone: 'z2', isReclaimable: true, sequence: 1 }),
      isDirect: false,
    }),
  );
  core.propose('job', testJob('j', items(2)));
  runFor(core, 1_000);
  t.deepEqual(inFlight(core), ['z2: 2']);
});
