/**
 * Address advice: which entries a caller should use, best first. There is no balancer before the system,
 * so the order is what spreads the callers: by zone and region first, then by load, then by a draw.
 */
import type { Random } from '../../../base/common/random.js';
import type { Milliseconds } from '../../../base/common/time.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';

/** One entry that a caller may use. */
export interface AdvisedAddress {
  readonly daemon: string;
  /** `host:port` for HTTP. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
}

/** A ranked list, and for how long the caller may keep it. */
export interface Advice {
  readonly addresses: readonly AdvisedAddress[];
  readonly keepMilliseconds: Milliseconds;
}

interface RankedDaemon {
  readonly daemon: DaemonRow;
  readonly distance: number;
  readonly load: number;
  readonly draw: number;
}

const sameZone = 0;
const sameRegion = 1;
const otherRegion = 2;

/** Loads are compared in steps, so that small differences don't send every caller to one entry. */
const loadStep = 8;
const drawBound = 65_536;

const distanceOf = (daemon: DaemonRow, zone: string | undefined, region: string | undefined) => {
  if (daemon.zone === zone) return sameZone;
  return daemon.region === region ? sameRegion : otherRegion;
};

const isAdvisable = (daemon: DaemonRow, isLeaving: boolean): boolean => {
  if (!daemon.isEntry) return false;
  return daemon.isSelf ? !isLeaving : daemon.state === DaemonState.Alive;
};

const rank = (
  daemon: DaemonRow,
  zone: string | undefined,
  region: string | undefined,
  random: Random,
): RankedDaemon => ({
  daemon,
  distance: distanceOf(daemon, zone, region),
  load: Math.floor(daemon.load / loadStep),
  draw: random.below(drawBound),
});

const compareRanks = (first: RankedDaemon, second: RankedDaemon): number =>
  first.distance - second.distance || first.load - second.load || first.draw - second.draw;

/** Ranks the entries for a caller in `zone`; without a zone only load and the draw decide. */
export const adviseAddresses = (world: World, zone: string | undefined): Advice => {
  const daemons = [...world.daemons.rows()];
  const region = daemons.find((daemon) => daemon.zone === zone)?.region;
  const ranked = daemons
    .filter((daemon) => isAdvisable(daemon, world.isLeaving()))
    .map((daemon) => rank(daemon, zone, region, world.random))
    .sort(compareRanks);
  return {
    addresses: ranked.map(({ daemon }) => ({
      daemon: daemon.id,
      address: daemon.callerAddress,
      zone: daemon.zone,
      region: daemon.region,
    })),
    keepMilliseconds: world.deployment.timing.adviceMilliseconds,
  };
};
