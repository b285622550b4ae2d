import test from 'ava';
import type { FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { testEngine, testItem, testJob } from '../../../../../standins/virtual/fleetFixture.js';
import type { ScalingDeclaration } from '../../../declaration/common/declaration.js';
import { createHomeCore, declareHomes } from '../../../places/test/common/homesFixture.js';
import { planCapacityByZones } from '../../common/capacityPlan.js';

const scaling: ScalingDeclaration = {
  minimum: 1,
  maximum: 3,
  startMilliseconds: 4_000,
  reclaimablePrice: 0.2,
  zonePrices: { z1: 1, z2: 0.9, z3: 1.2 },
};
const nonReclaimable = { byZone: new Map([['z1', 1]]), concurrentRequestsPerUpstream: 2 };

const inZones =
  (...zones: readonly string[]) =>
  (zone: string): boolean =>
    zones.includes(zone);
const anywhere = (): boolean => true;

test('demand with home regions is planned only in their zones', (t) => {
  const plan = planCapacityByZones(scaling, nonReclaimable, [
    { demand: 4, isZoneAllowed: inZones('z3') },
  ]);
  t.deepEqual(Object.fromEntries(plan), { z1: 0, z2: 0, z3: 2 });
});

test('room outside the home regions does not count, that inside does', (t) => {
  const planFor = (zone: string) =>
    Object.fromEntries(
      planCapacityByZones(scaling, nonReclaimable, [{ demand: 2, isZoneAllowed: inZones(zone) }]),
    );
  t.deepEqual(planFor('z1'), { z1: 0, z2: 0, z3: 0 });
  t.deepEqual(planFor('z2'), { z1: 0, z2: 1, z3: 0 });
});

test('the most limited demand is planned first, and others use what it leaves', (t) => {
  const plan = planCapacityByZones(scaling, nonReclaimable, [
    { demand: 3, isZoneAllowed: anywhere },
    { demand: 3, isZoneAllowed: inZones('z1') },
  ]);
  t.deepEqual(Object.fromEntries(plan), { z1: 1, z2: 1, z3: 0 });
});

test('demand beyond the maximum of its zones is not moved to others', (t) => {
  const plan = planCapacityByZones(scaling, nonReclaimable, [
    { demand: 100, isZoneAllowed: inZones('z1', 'z3') },
  ]);
  t.deepEqual(Object.fromEntries(plan), { z1: 2, z2: 0, z3: 3 });
});

const describeOrders = (core: FleetCore): string[] =>
  [...core.world.capacityOrders.rows()]
    .filter(({ count }) => count > 0)
    .map(({ zone, count }) => `${zone}: ${count}`)
    .sort();

/** Advances time while the engine `e1` keeps reporting, and accepts all orders. */
const runFor = (core: FleetCore, duration: number): void => {
  const end = core.now() + duration;
  while (core.now() < end) {
    core.world.arrivedRegistrations.append({
      registration: testEngine('e1', { sequence: core.now() }),
      isDirect: false,
    });
    [...core.world.capacityOrders.rows()]
      .filter((row) => row.isInFlight)
      .forEach(({ id, count }) => core.world.capacityFacts.append({ kind: 'accepted', id, count }));
    core.runFor(Math.min(500, end - core.now()));
  }
};

const submitItems = (core: FleetCore, count: number): void =>
  core.propose(
    'job',
    testJob(
      'j',
      Array.from({ length: count }, (_, number) => testItem(`item-${number}`)),
    ),
  );

test('upstreams for items with home regions are ordered in zones of these regions', (t) => {
  const core = createHomeCore({ routes: { plan: ['north'] } }, true);
  runFor(core, 1_000);
  submitItems(core, 3);
  runFor(core, 1_000);
  t.deepEqual(describeOrders(core), ['z3: 3']);
});

test('after a change of home regions the orders follow, and the earlier ones are lowered', (t) => {
  const core = createHomeCore({ routes: { plan: ['north'] } }, true);
  runFor(core, 1_000);
  submitItems(core, 2);
  runFor(core, 1_000);
  t.deepEqual(describeOrders(core), ['z3: 2']);
  declareHomes(core, 2, { routes: { plan: ['west'] } });
  runFor(core, 1_000);
  t.true(describeOrders(core).includes('z2: 2'));
  core.propose('end', { kind: 'jobEnded', job: 'j' });
  runFor(core, 40_000);
  t.deepEqual(describeOrders(core), []);
  t.is(core.world.capacityDemands.size(), 1, 'demands with home regions are forgotten');
});
