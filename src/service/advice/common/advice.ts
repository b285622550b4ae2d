/**
 * Address advice: ranks the entries for a caller, best first. There is no load balancer in front of
 * the system, so this order distributes the callers. Entries with fresh settings are first, then
 * the order is by zone and region, then by load, then random.
 */
import type { Milliseconds } from '../../../base/common/time.js';
import { freshnessId } from '../../configuration/common/freshnessTables.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';

/** One entry that a caller can use. */
export interface AdvisedAddress {
  readonly daemon: string;
  /** `host:port` for HTTP. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  /** Whether the entry serves requests with keys; entries that don't are ranked last. */
  readonly isFresh: boolean;
}

/** Ranked addresses, and the time for which the caller may cache them. */
export interface Advice {
  readonly addresses: readonly AdvisedAddress[];
  readonly keepMilliseconds: Milliseconds;
}

interface RankedDaemon {
  readonly isFresh: boolean;
  readonly daemon: DaemonRow;
  readonly distance: number;
  readonly load: number;
  readonly tieBreaker: number;
}

const sameZoneDistance = 0;
const sameRegionDistance = 1;
const otherRegionDistance = 2;

/**
 * Loads are compared in steps of this size, so that small differences don't attract all callers.
 */
const loadStep = 8;
const tieBreakerBound = 65_536;

const computeDistance = (
  daemon: DaemonRow,
  zone: string | undefined,
  region: string | undefined,
) => {
  if (daemon.zone === zone) return sameZoneDistance;
  return daemon.region === region ? sameRegionDistance : otherRegionDistance;
};

const canBeAdvised = (daemon: DaemonRow, isLeaving: boolean): boolean => {
  if (!daemon.isEntry) return false;
  return daemon.isSelf ? !isLeaving : daemon.state === DaemonState.Alive;
};

const isDaemonFresh = (world: World, daemon: DaemonRow): boolean => {
  if (!daemon.isSelf) return daemon.isFresh;
  return world.freshness.get(freshnessId)?.isFresh ?? !world.hasControlDaemons;
};

const rankDaemon = (
  world: World,
  daemon: DaemonRow,
  zone: string | undefined,
  region: string | undefined,
): RankedDaemon => ({
  isFresh: isDaemonFresh(world, daemon),
  daemon,
  distance: computeDistance(daemon, zone, region),
  load: Math.floor(daemon.load / loadStep),
  tieBreaker: world.random.nextInteger(tieBreakerBound),
});

const compareRanks = (first: RankedDaemon, second: RankedDaemon): number =>
  Number(second.isFresh) - Number(first.isFresh) ||
  first.distance - second.distance ||
  first.load - second.load ||
  first.tieBreaker - second.tieBreaker;

/** Ranks the entries for a caller in `zone`; without a zone, distance is not considered. */
export const rankAddresses = (world: World, zone: string | undefined): Advice => {
  const daemons = [...world.daemons.rows()];
  const region = daemons.find((daemon) => daemon.zone === zone)?.region;
  const ranked = daemons
    .filter((daemon) => canBeAdvised(daemon, world.isLeaving()))
    .map((daemon) => rankDaemon(world, daemon, zone, region))
    .sort(compareRanks);
  return {
    addresses: ranked.map(({ daemon, isFresh }) => ({
      daemon: daemon.id,
      address: daemon.callerAddress,
      zone: daemon.zone,
      region: daemon.region,
      isFresh,
    })),
    keepMilliseconds: world.deployment.timing.adviceMilliseconds,
  };
};
