/**
 * Measures the demand for the upstreams of a service: the peak number of its concurrent items in the
 * last 15 to 30 seconds, apart for each set of home regions.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { findRoute } from '../../declaration/common/findRoute.js';
import { homesOfJob } from '../../jobs/common/jobHomes.js';
import { isAppointedRunner, openHomeJobsOf } from '../../jobs/common/jobRunner.js';
import { RunState, type JobId, type JobRow } from '../../jobs/common/jobTables.js';
import type { Homes } from '../../places/common/homes.js';
import type { World } from '../../world/common/world.js';
import type { CapacityDemandRow } from './capacityTables.js';

/**
 * Demand is the peak of the last one to two such windows, which span several steps of a trainer.
 */
const peakWindowMilliseconds = 15_000;

const isRoutedToService = (world: World, job: JobRow | undefined, service: string): boolean => {
  const route = job === undefined ? undefined : findRoute(world, job.host, job.path);
  return route?.targets.some((target) => target.service === service) === true;
};

const demandIdOf = (service: string, homes: Homes): CapacityDemandRow['id'] =>
  asBrand(homes === null ? service : `${service} ${[...homes].sort().join(',')}`);

/** The home regions and the number of the current items of a service. */
interface CurrentDemand {
  readonly homes: Homes;
  readonly count: number;
}

/** Counts the current items of each job: those of this daemon's runs, and all of other runners. */
const itemCountsOf = (world: World): ReadonlyMap<JobId, number> => {
  const counts = new Map<JobId, number>();
  const add = (job: JobId, items: number): void => {
    counts.set(job, (counts.get(job) ?? 0) + items);
  };
  [RunState.Waiting, RunState.Running]
    .flatMap((state) => world.runs.where('state', state))
    .forEach(({ job }) => add(job, 1));
  openHomeJobsOf(world)
    .filter((job) => !isAppointedRunner(world, job))
    .forEach(({ id }) => add(id, world.jobItems.count('unlisted', id)));
  return counts;
};

/**
 * Counts the current items of a service by home regions. Those without a limit, and home regions
 * with earlier items, are included also if there are no items.
 */
const countCurrentDemands = (world: World, service: string): CurrentDemand[] => {
  const demands = new Map<CapacityDemandRow['id'], CurrentDemand>([
    [demandIdOf(service, null), { homes: null, count: 0 }],
  ]);
  [...world.capacityDemands.rows()]
    .filter((row) => row.service === service)
    .forEach(({ id, homes }) => demands.set(id, { homes, count: 0 }));
  itemCountsOf(world).forEach((items, id) => {
    const job = world.jobs.get(id);
    if (job === undefined || !isRoutedToService(world, job, service)) return;
    const homes = homesOfJob(world, job);
    const demand = demandIdOf(service, homes);
    demands.set(demand, { homes, count: (demands.get(demand)?.count ?? 0) + items });
  });
  return [...demands.values()];
};

const recordDemand = (
  world: World,
  service: string,
  { homes, count: currentDemand }: CurrentDemand,
  now: Instant,
): CapacityDemandRow => {
  const id = demandIdOf(service, homes);
  const existing = world.capacityDemands.get(id);
  const isWindowOver = existing === undefined || existing.rotationDeadline <= now;
  return world.capacityDemands.put({
    id,
    service,
    homes,
    peak: Math.max(currentDemand, isWindowOver ? 0 : existing.peak),
    earlierPeak: isWindowOver ? (existing?.peak ?? null) : existing.earlierPeak,
    rotationDeadline: isWindowOver
      ? deadlineAfter(now, peakWindowMilliseconds)
      : existing.rotationDeadline,
  });
};

/** Records the demands of a service, and forgets those with home regions that ended two windows ago. */
export const recordDemands = (world: World, service: string, now: Instant): CapacityDemandRow[] => {
  const rows = countCurrentDemands(world, service).map((demand) =>
    recordDemand(world, service, demand, now),
  );
  rows
    .filter(({ homes, peak, earlierPeak }) => homes !== null && peak === 0 && earlierPeak === 0)
    .forEach(({ id }) => world.capacityDemands.remove(id));
  return rows;
};
