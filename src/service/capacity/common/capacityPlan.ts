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
  /** Number of requests that one upstream runs concurrently. */
  readonly concurrentRequestsPerUpstream: number;
}

/** Demand that must be served in certain zones. */
export interface ZoneDemand {
  /** Number of requests that must be able to run concurrently. */
  readonly demand: number;
  readonly isZoneAllowed: (zone: string) => boolean;
}

const zonesByPrice = ({ zonePrices }: ScalingDeclaration): string[] =>
  Object.keys(zonePrices).sort((first, second) => zonePrices[first]! - zonePrices[second]!);

/** Numbers of concurrent requests by zone for which there is room beyond the demand planned so far. */
type RoomByZone = Map<string, number>;

/** Takes room in the allowed zones; returns the demand for which there is none. */
const takeRoom = (room: RoomByZone, { demand, isZoneAllowed }: ZoneDemand): number =>
  [...room].reduce((missing, [zone, free]) => {
    if (missing <= 0 || !isZoneAllowed(zone)) return missing;
    const taken = Math.min(free, missing);
    room.set(zone, free - taken);
    return missing - taken;
  }, demand);

/**
 * Returns the number of reclaimable upstreams for each zone of the service, including zones with
 * none. Demand that is allowed in the fewest zones is planned first, so that what others leave of an
 * upstream is used.
 */
export const planCapacityByZones = (
  scaling: ScalingDeclaration,
  nonReclaimable: NonReclaimableCapacity,
  demands: readonly ZoneDemand[],
): ReadonlyMap<string, number> => {
  const zones = zonesByPrice(scaling);
  const perUpstream = nonReclaimable.concurrentRequestsPerUpstream;
  const counts = new Map(zones.map((zone) => [zone, 0]));
  const room: RoomByZone = new Map(
    [...nonReclaimable.byZone].map(([zone, count]) => [zone, count * perUpstream]),
  );
  const remainingCapacityIn = (zone: string): number =>
    scaling.maximum - (nonReclaimable.byZone.get(zone) ?? 0) - counts.get(zone)!;
  const addUpstream = (zone: string): void => {
    counts.set(zone, counts.get(zone)! + 1);
    room.set(zone, (room.get(zone) ?? 0) + perUpstream);
  };
  const planDemand = (zoneDemand: ZoneDemand): void => {
    const { isZoneAllowed } = zoneDemand;
    const unserved = takeRoom(room, zoneDemand);
    let missing = Math.max(0, Math.ceil(unserved / perUpstream));
    let openZones = zones.filter(isZoneAllowed);
    while (missing > 0 && openZones.length > 0) {
      openZones = openZones.filter((zone) => remainingCapacityIn(zone) > 0);
      openZones.slice(0, missing).forEach(addUpstream);
      missing -= Math.min(missing, openZones.length);
    }
    takeRoom(room, { demand: unserved, isZoneAllowed });
  };
  const countAllowedZones = ({ isZoneAllowed }: ZoneDemand): number =>
    zones.filter(isZoneAllowed).length;
  [...demands]
    .sort((first, second) => countAllowedZones(first) - countAllowedZones(second))
    .forEach(planDemand);
  return counts;
};

/** As `planCapacityByZones`, for demand that may be served in all zones. */
export const planCapacity = (
  scaling: ScalingDeclaration,
  nonReclaimable: NonReclaimableCapacity,
  demand: number,
): ReadonlyMap<string, number> =>
  planCapacityByZones(scaling, nonReclaimable, [{ demand, isZoneAllowed: () => true }]);
