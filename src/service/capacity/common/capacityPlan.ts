/**
 * Computes how many reclaimable upstreams a service needs in each availability zone, so that all
 * items of the peak demand can run concurrently. Upstreams are spread over the zones, so that the
 * loss of one zone leaves most of them, and cheaper zones are filled first. A pure function without
 * access to the world.
 */
import type { ScalingDeclaration } from '../../declaration/common/declaration.js';

/** Capacity of the upstreams that cannot be reclaimed. */
export interface NonReclaimableCapacity {
  /** Number of upstreams by availability zone. */
  readonly byZone: ReadonlyMap<string, number>;
  /** Number of requests that all of them together run concurrently. */
  readonly concurrentRequests: number;
  /** Number of requests that one upstream runs concurrently. */
  readonly concurrentRequestsPerUpstream: number;
}

const zonesByPrice = ({ zonePrices }: ScalingDeclaration): string[] =>
  Object.keys(zonePrices).sort((first, second) => zonePrices[first]! - zonePrices[second]!);

/**
 * Returns the number of reclaimable upstreams for each zone of the service, including zones with
 * none. `demand` is the number of requests that must be able to run concurrently.
 */
export const planCapacity = (
  scaling: ScalingDeclaration,
  nonReclaimable: NonReclaimableCapacity,
  demand: number,
): ReadonlyMap<string, number> => {
  const zones = zonesByPrice(scaling);
  const counts = new Map(zones.map((zone) => [zone, 0]));
  const remainingCapacityIn = (zone: string): number =>
    scaling.maximum - (nonReclaimable.byZone.get(zone) ?? 0) - counts.get(zone)!;
  let missing = Math.max(
    0,
    Math.ceil(
      (demand - nonReclaimable.concurrentRequests) / nonReclaimable.concurrentRequestsPerUpstream,
    ),
  );
  let openZones = zones;
  while (missing > 0 && openZones.length > 0) {
    openZones = openZones.filter((zone) => remainingCapacityIn(zone) > 0);
    openZones.slice(0, missing).forEach((zone) => counts.set(zone, counts.get(zone)! + 1));
    missing -= Math.min(missing, openZones.length);
  }
  return counts;
};
