/**
 * One-way network latencies between the daemons, upstreams and clients of a deployment on virtual
 * time.
 */
import type { Milliseconds } from '../../src/base/common/time.js';
import type { Deployment } from '../../src/infrastructure/settings/common/deployment.js';

/** One-way latencies by distance, in milliseconds. */
export interface LinkLatencies {
  readonly withinZone: Milliseconds;
  readonly betweenZones: Milliseconds;
  readonly betweenRegions: Milliseconds;
  readonly toClients: Milliseconds;
}

/** Computes the one-way latencies of one deployment. */
export interface Links {
  /** Latency between two daemons, given their names. */
  readonly betweenDaemons: (from: string, to: string) => Milliseconds;
  /** Latency between a daemon and an upstream in an availability zone. */
  readonly toZone: (daemon: string, zone: string) => Milliseconds;
  readonly toClients: Milliseconds;
}

/**
 * Creates the links of a deployment. A zone without a daemon is treated as part of another region.
 */
export const createLinks = (deployment: Deployment, latencies: LinkLatencies): Links => {
  const regionByZone = new Map(deployment.daemons.map(({ zone, region }) => [zone, region]));
  const zoneByDaemon = new Map(deployment.daemons.map(({ name, zone }) => [name, zone]));

  const betweenZones = (first: string, second: string): Milliseconds => {
    if (first === second) return latencies.withinZone;
    const isSameRegion = regionByZone.get(first) === regionByZone.get(second);
    return isSameRegion ? latencies.betweenZones : latencies.betweenRegions;
  };

  return {
    betweenDaemons: (from, to) => betweenZones(zoneByDaemon.get(from)!, zoneByDaemon.get(to)!),
    toZone: (daemon, zone) => betweenZones(zoneByDaemon.get(daemon)!, zone),
    toClients: latencies.toClients,
  };
};
