/**
 * Guards against an operator who cannot see which zones are evacuated, and what still runs there.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import {
  defaultPlaceSettings,
  type PlaceSettings,
} from '../../../../infrastructure/settings/common/fleetSettings.js';
import { createScrapedMetrics } from '../../../../infrastructure/metrics/node/scrapedMetrics.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { EventKind } from '../../../../service/events/common/eventKind.js';
import type { ArrivedCall } from '../../../../service/forwarding/common/forwardingTables.js';
import {
  createZoneEvacuated,
  createZoneRestored,
} from '../../../../service/places/common/evacuationRequests.js';
import { createMetricsRoutes } from '../../node/metricsRoutes.js';

const path = '/metrics';
const places: PlaceSettings = {
  ...defaultPlaceSettings,
  regionByZone: { z1: 'r1', z2: 'r1' },
  canEvacuate: true,
};

const arrivedCall: ArrivedCall = {
  id: asBrand('call'),
  requestId: 'request',
  host: 'yard.example',
  path: '/score/1',
  key: null,
  digest: 'digest',
  remaining: null,
  isInternal: false,
  urgency: [],
  takesUp: null,
};

/** Starts an item on an engine in z1, and a call on an upstream there. */
const createBusyCore = (): FleetCore => {
  const core = createFleetCore({ places });
  core.propose('declare', testDeclarationCommand());
  [testEngine('e1'), testEngine('e2', { service: 'yard-app', models: [] })].forEach(
    (registration) => core.world.arrivedRegistrations.append({ registration, isDirect: false }),
  );
  core.settle();
  core.propose('job', testJob('j', [testItem('a')]));
  core.world.arrivedCalls.append(arrivedCall);
  core.settle();
  return core;
};

test('the page shows the evacuated zones, since when, and the requests that run there', async (t) => {
  const core = createBusyCore();
  const routes = createMetricsRoutes(path, core.world, createScrapedMetrics(), core.now);
  const read = async (): Promise<string> => (await routes.request(path)).text();
  t.regex(await read(), /^shallotquay_places_zones_evacuated 0$/m);
  core.world.events.takeAll();
  core.propose('evacuate', createZoneEvacuated(core.world, 'z1'));
  const evacuated = await read();
  const since = core.now();
  t.regex(evacuated, /^shallotquay_places_zones_evacuated 1$/m);
  t.regex(evacuated, /^shallotquay_places_running_in_evacuated_zones 2$/m);
  t.regex(evacuated, /^shallotquay_places_running_in_evacuated_zone\{zone="z1"\} 2$/m);
  t.true(evacuated.includes(`shallotquay_places_evacuated_since{zone="z1"} ${since / 1_000}\n`));
  t.regex(evacuated, /^shallotquay_places_evacuated_since\{zone="z2"\} 0$/m);
  core.propose('restore', createZoneRestored(core.world, 'z1'));
  t.regex(await read(), /^shallotquay_places_evacuated_since\{zone="z1"\} 0$/m);
  t.deepEqual(
    core.world.events
      .takeAll()
      .filter(({ subject }) => subject.zone === 'z1')
      .map(({ kind, subject }) => [kind, subject.since]),
    [
      [EventKind.ZoneEvacuated, since],
      [EventKind.ZoneRestored, undefined],
    ],
  );
});

test('the page of an installation without evacuations shows no gauges of places', async (t) => {
  const { world, now } = createFleetCore();
  const routes = createMetricsRoutes(path, world, createScrapedMetrics(), now);
  t.notRegex(await (await routes.request(path)).text(), /shallotquay_places_/);
});
