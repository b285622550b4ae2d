/**
 * Gauges of evacuated availability zones on the metrics page. They exist only where the settings
 * allow evacuations.
 */
import type { Metrics } from '../../../infrastructure/metrics/common/metrics.js';
import { listEvacuatedZones } from '../../../service/places/common/evacuatedZones.js';
import type { World } from '../../../service/world/common/world.js';

/** Sets the gauges; each zone of the settings has its own, so that a restored one becomes 0. */
export const recordPlaceGauges = (world: World, metrics: Metrics, now: number): void => {
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
