/**
 * How many reclaimable upstreams a service shall have in each availability zone: enough that all items
 * that were asked for at once have a place. They are spread over the zones, so that the loss of all of one
 * zone leaves most of them, and cheaper zones come first.
 */
import type { ScalingDeclaration } from '../../declaration/common/declaration.js';

/** What is there without reclaimable upstreams. */
export interface NonReclaimableCapacity {
  /** Upstreams by availability zone. */
  readonly byZone: ReadonlyMap<string, number>;
  /** Requests that all of them run at once. */
  readonly concurrentRequests: number;
  /** Requests that one upstream runs at once. */
  readonly concurrentRequestsPerUpstream: number;
}

const zonesByPrice = ({ zonePrices }: ScalingDeclaration): string[] =>
  Object.keys(zonePrices).sort((first, second) => zonePrices[first]! - zonePrices[second]!);

/** The count for each zone of the service, zero included. */
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
