/**
 * Lists the evacuated availability zones with the requests of this daemon that still run there, for
 * the metrics page.
 */
import type { Instant } from '../../../base/common/time.js';
import { SendState } from '../../forwarding/common/forwardingTables.js';
import { isRunnerOf } from '../../jobs/common/jobRunner.js';
import { RunState, type JobId } from '../../jobs/common/jobTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { isZoneEvacuated } from './eligibility.js';

export interface EvacuatedZone {
  readonly zone: string;
  /** Time of the operator's request in milliseconds since the Unix epoch. */
  readonly since: number;
  /** Number of requests that this daemon has sent to upstreams of the zone and that still run. */
  readonly running: number;
}

/** Whether this daemon sends the items of a job; others may hold runs that are not current. */
const isRunHere = (world: World, id: JobId, now: Instant): boolean => {
  const job = world.jobs.get(id);
  return job !== undefined && isRunnerOf(world, job, now);
};

/** Upstreams to which this daemon has sent requests that still run, once for each request. */
const runningUpstreams = (world: World, now: Instant): (UpstreamId | null)[] => [
  ...[...world.sends.rows()]
    .filter(({ state }) => state === SendState.Running)
    .map(({ upstream }) => upstream),
  ...world.runs
    .where('state', RunState.Running)
    .filter(({ job }) => isRunHere(world, job, now))
    .map(({ upstream }) => upstream),
];

/** Returns the evacuated zones in the order of their names. */
export const listEvacuatedZones = (world: World, now: Instant): readonly EvacuatedZone[] => {
  const zones = [...world.evacuations.rows()].filter(({ id }) => isZoneEvacuated(world, id));
  if (zones.length === 0) return [];
  const runningZones = runningUpstreams(world, now).map((upstream) =>
    upstream === null ? undefined : world.registrations.get(upstream)?.zone,
  );
  return zones
    .map(({ id, at }) => ({
      zone: id,
      since: at,
      running: runningZones.filter((zone) => zone === id).length,
    }))
    .sort((first, second) => (first.zone < second.zone ? -1 : 1));
};
