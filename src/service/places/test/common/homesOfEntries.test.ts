import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { selectEntryAddresses } from '../../../advice/common/adviseEntries.js';
import { DaemonState } from '../../../membership/common/membershipTables.js';
import { createHomeCore, type DeclaredHomes } from './homesFixture.js';

const host = 'yard.example';

/** Zones of the entries; the region of each zone is that of the settings. */
type EntryZones = readonly (readonly [zone: string, region: string])[];

const createCore = (homes: DeclaredHomes, zones: EntryZones): FleetCore => {
  const core = createHomeCore(homes);
  const [self] = [...core.world.daemons.rows()];
  core.world.daemons.change(self!.id, { isEntry: false });
  zones.forEach(([zone, region], index) =>
    core.world.daemons.put({
      ...self!,
      id: asBrand(`entry-${index}`),
      isSelf: false,
      isEntry: true,
      isFresh: true,
      state: DaemonState.Alive,
      zone,
      region,
      callerAddress: `${zone}/${index}`,
    }),
  );
  return core;
};

const adviseIn = (core: FleetCore, zone: string, region: string): string[] =>
  selectEntryAddresses(core.world, { zone, region }, host).sort();

const spread: EntryZones = [
  ['z1', 'east'],
  ['z2', 'west'],
  ['z2', 'west'],
  ['z3', 'north'],
];
const allRoutes = { book: ['west'], plan: ['west', 'east'], score: ['west'] };

test('a caller in a region without entries gets those of the home regions of the host', (t) => {
  const core = createCore({ routes: allRoutes }, spread);
  t.deepEqual(adviseIn(core, 'z9', 'south'), ['z2/1', 'z2/2']);
});

test('a region with one entry adds those of the home regions, and no others', (t) => {
  const core = createCore({ routes: allRoutes }, spread);
  t.deepEqual(adviseIn(core, 'z3', 'north'), ['z2/1', 'z2/2', 'z3/3']);
});

test('if some route of the host has no home regions, the region of the caller decides', (t) => {
  const core = createCore({ routes: { book: ['west'] } }, spread);
  t.deepEqual(adviseIn(core, 'z3', 'north'), ['z3/3']);
  t.is(adviseIn(core, 'z9', 'south').length, spread.length);
});

test('the zone and the region of the caller come first, whatever the home regions are', (t) => {
  const core = createCore({ routes: { book: ['east'], plan: ['east'], score: ['east'] } }, spread);
  t.deepEqual(adviseIn(core, 'z2', 'west'), ['z2/1', 'z2/2']);
  t.deepEqual(adviseIn(core, 'z8', 'west'), ['z2/1', 'z2/2']);
});

test('routes without a common home region get the entries of all of them', (t) => {
  const routes = { book: ['west'], plan: ['east'], score: ['west'] };
  t.deepEqual(adviseIn(createCore({ routes }, spread), 'z9', 'south'), ['z1/0', 'z2/1', 'z2/2']);
});

test('without entries in the home regions, all entries are returned', (t) => {
  const routes = { book: ['south'], plan: ['south'], score: ['south'] };
  t.is(adviseIn(createCore({ routes }, spread), 'z9', 'centre').length, spread.length);
});

test('without home regions, a region with one entry gets all entries as before', (t) => {
  t.is(adviseIn(createCore({}, spread), 'z3', 'north').length, spread.length);
});
