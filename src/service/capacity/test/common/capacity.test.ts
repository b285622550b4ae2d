import test from 'ava';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { defaultPlaceSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import {
  createZoneEvacuated,
  createZoneRestored,
} from '../../../places/common/evacuationRequests.js';
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
const nonReclaimable = {
  byZone: new Map([['z1', 2]]),
  concurrentRequests: 4,
  concurrentRequestsPerUpstream: 2,
};

const planCounts = (demand: number): Record<string, number> =>
  Object.fromEntries(planCapacity(scaling, nonReclaimable, demand));

test('the plan covers only what non-reclaimable upstreams lack, cheapest zone first', (t) => {
  t.deepEqual(planCounts(4), { z1: 0, z2: 0, z3: 0 });
  t.deepEqual(planCounts(5), { z1: 0, z2: 1, z3: 0 });
  t.deepEqual(planCounts(9), { z1: 1, z2: 1, z3: 1 });
});

test('the maximum of a zone counts reclaimable and non-reclaimable upstreams', (t) => {
  t.deepEqual(planCounts(1_000), { z1: 1, z2: 3, z3: 3 });
});

const items = (count: number) =>
  Array.from({ length: count }, (_, number) => testItem(`item-${number}`));

const ordersOf = (core: FleetCore): CapacityOrderRow[] => [...core.world.capacityOrders.rows()];

const describeOrdersInFlight = (core: FleetCore): string[] =>
  ordersOf(core)
    .filter((row) => row.isInFlight)
    .map(({ zone, count }) => `${zone}: ${count}`)
    .sort();

const acceptOrdersInFlight = (core: FleetCore): void => {
  ordersOf(core)
    .filter((row) => row.isInFlight)
    .forEach(({ id, count }) => core.world.capacityFacts.append({ kind: 'accepted', id, count }));
  core.settle();
};

/** Advances time while the engine `e1` keeps reporting. */
const runFor = (core: FleetCore, duration: number): void => {
  const end = core.now() + duration;
  while (core.now() < end) {
    const registration = testEngine('e1', { sequence: core.now() });
    core.world.arrivedRegistrations.append({ registration, isDirect: false });
    core.runFor(Math.min(500, end - core.now()));
  }
};

const places = { ...defaultPlaceSettings, canEvacuate: true };

const createCore = (): FleetCore => {
  const core = createFleetCore({ canOrderCapacity: true, places });
  core.propose('declare', testDeclarationCommand());
  runFor(core, 1_000);
  return core;
};

test('items that another daemon runs count as demand of the leader', (t) => {
  const core = createCore();
  const homes = { homeRegions: ['r2'], holders: ['d9'] };
  core.propose('job', testJob('j', items(2), homes));
  runFor(core, 2_000);
  t.is(core.world.runs.size(), 0);
  t.deepEqual(describeOrdersInFlight(core), ['z2: 1']);
});

test('nothing is ordered while there are 1.5 slots per item', (t) => {
  const core = createCore();
  core.propose('job', testJob('j', items(1)));
  runFor(core, 2_000);
  t.deepEqual(ordersOf(core), []);
});

test('a leader orders the capacity that a job lacks once, with its fencing token', (t) => {
  const core = createCore();
  core.propose('job', testJob('j', items(5)));
  runFor(core, 1_000);
  t.deepEqual(describeOrdersInFlight(core), ['z1: 1', 'z2: 1', 'z3: 1']);
  t.true(ordersOf(core).every(({ fencing }) => fencing > 0));
  acceptOrdersInFlight(core);
  runFor(core, 3_000);
  t.deepEqual(describeOrdersInFlight(core), []);
});

test('an order is retried if it is refused or if its upstream does not register', (t) => {
  const core = createCore();
  core.propose('job', testJob('j', items(2)));
  runFor(core, 1_000);
  const [order] = ordersOf(core);
  core.world.capacityFacts.append({ kind: 'failed', id: order!.id, reason: 'status 409' });
  runFor(core, 1_000);
  t.deepEqual(describeOrdersInFlight(core), []);
  runFor(core, 2_500);
  t.deepEqual(describeOrdersInFlight(core), ['z2: 1']);

  acceptOrdersInFlight(core);
  runFor(core, 7_500);
  t.deepEqual(describeOrdersInFlight(core), []);
  runFor(core, 1_000);
  t.deepEqual(describeOrdersInFlight(core), ['z2: 1']);
});

test('an order is lowered once the peak windows contain no demand', (t) => {
  const core = createCore();
  core.propose('job', testJob('j', items(2)));
  runFor(core, 1_000);
  t.deepEqual(describeOrdersInFlight(core), ['z2: 1']);
  core.propose('end', { kind: 'jobEnded', job: 'j' });
  for (let second = 0; second < 35; second += 1) {
    acceptOrdersInFlight(core);
    runFor(core, 1_000);
  }
  t.deepEqual(
    ordersOf(core).map(({ count, accepted }) => ({ count, accepted })),
    [{ count: 0, accepted: 0 }],
  );
});

test('a new leader does not lower existing capacity before it has observed demand', (t) => {
  const core = createCore();
  ['e2', 'e3'].forEach((engine) =>
    core.world.arrivedRegistrations.append({
      registration: testEngine(engine, { zone: 'z2', isReclaimable: true, sequence: 1 }),
      isDirect: false,
    }),
  );
  core.propose('job', testJob('j', items(2)));
  runFor(core, 1_000);
  t.deepEqual(describeOrdersInFlight(core), ['z2: 2']);
});

test('no capacity is ordered in an evacuated zone, and its upstreams count for none', (t) => {
  const core = createCore();
  core.propose('evacuate-z1', createZoneEvacuated(core.world, 'z1'));
  core.propose('job', testJob('j', items(2)));
  runFor(core, 1_000);
  t.deepEqual(describeOrdersInFlight(core), ['z2: 1', 'z3: 1']);
});

test('an order for a zone that is evacuated is not sent again until the zone is restored', (t) => {
  const core = createCore();
  core.propose('job', testJob('j', items(2)));
  runFor(core, 1_000);
  t.deepEqual(describeOrdersInFlight(core), ['z2: 1']);
  const [order] = ordersOf(core);
  core.world.capacityFacts.append({ kind: 'failed', id: order!.id, reason: 'status 409' });
  core.propose('evacuate', createZoneEvacuated(core.world, 'z2'));
  runFor(core, 5_000);
  t.false(core.world.capacityOrders.get(order!.id)!.isInFlight);
  t.true(describeOrdersInFlight(core).every((text) => !text.startsWith('z2')));
  core.propose('restore', createZoneRestored(core.world, 'z2'));
  runFor(core, 1_000);
  t.true(describeOrdersInFlight(core).includes('z2: 1'));
});

test('the order for a zone that is evacuated is not lowered, as its upstreams may run requests', (t) => {
  const core = createCore();
  core.propose('job', testJob('j', items(2)));
  runFor(core, 1_000);
  acceptOrdersInFlight(core);
  core.propose('evacuate', createZoneEvacuated(core.world, 'z2'));
  core.propose('end', { kind: 'jobEnded', job: 'j' });
  runFor(core, 35_000);
  const row = ordersOf(core).find(({ zone }) => zone === 'z2')!;
  t.deepEqual([row.count, row.isInFlight], [1, false]);
});
