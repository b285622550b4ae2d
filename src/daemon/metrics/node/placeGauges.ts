/**
 * Gauges of decisions by place on the metrics page. Each exists only where the settings or the
 * declaration ask for the decision.
 */
import type { Metrics } from '../../../infrastructure/metrics/common/metrics.js';
import { countItemsWaitingByRegion } from '../../../service/jobs/common/homeWaits.js';
import { coldGroup } from '../../../service/places/common/coldTables.js';
import { listEvacuatedZones } from '../../../service/places/common/evacuatedZones.js';
import { hasHomeRegions } from '../../../service/places/common/homes.js';
import type { World } from '../../../service/world/common/world.js';

/** Each zone of the settings has its own gauges, so that those of a restored one become 0. */
const recordEvacuations = (world: World, metrics: Metrics, now: number): void => {
  const { canEvacuate, regionByZone } = world.fleet.places;
  if (!canEvacuate) return;
  const evacuated = listEvacuatedZones(world, now);
  const running = evacuated.reduce((sum, zone) => sum + zone.running, 0);
  metrics.gauge('places.zonesEvacuated', evacuated.length);
  metrics.gauge('places.runningInEvacuatedZones', running);
  Object.keys(regionByZone).forEach((name) => {
    const row = evacuated.find(({ zone }) => zone === name);
    // Seconds since the Unix epoch, as time stamps usually are on such pages; 0 if not evacuated.
    metrics.gauge('places.evacuatedSince', (row?.since ?? 0) / 1_000, { zone: name });
    metrics.gauge('places.runningInEvacuatedZone', row?.running ?? 0, { zone: name });
  });
};

const recordHomes = (world: World, metrics: Metrics): void => {
  if (!hasHomeRegions(world)) return;
  countItemsWaitingByRegion(world).forEach((count, region) =>
    metrics.gauge('places.itemsWaiting', count, { region }),
  );
};

const recordColdUpstreams = (world: World, metrics: Metrics): void => {
  if (world.fleet.places.coldLimit === null) return;
  metrics.gauge('places.upstreamsCold', world.coldStates.count('cold', coldGroup));
};

/** Sets the gauges. */
export const recordPlaceGauges = (world: World, metrics: Metrics, now: number): void => {
  recordEvacuations(world, metrics, now);
  recordHomes(world, metrics);
  recordColdUpstreams(world, metrics);
};
