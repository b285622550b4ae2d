/**
 * Measures the demand for the upstreams of a service: the peak number of its concurrent items in the
 * last 15 to 30 seconds, apart for each set of home regions.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { findRoute } from '../../declaration/common/findRoute.js';
import { RunState, type RunRow } from '../../jobs/common/jobTables.js';
import { homesOfRoute, type Homes } from '../../places/common/homes.js';
import type { World } from '../../world/common/world.js';
import type { CapacityDemandRow } from './capacityTables.js';

/**
 * Demand is the peak of the last one to two such windows, which span several steps of a trainer.
 */
const peakWindowMilliseconds = 15_000;

const isRoutedToService = (world: World, run: RunRow, service: string): boolean => {
  const job = world.jobs.get(run.job);
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
  [RunState.Waiting, RunState.Running]
    .flatMap((state) => world.runs.where('state', state))
    .filter((run) => isRoutedToService(world, run, service))
    .forEach((run) => {
      const { host, path, workspace } = world.jobs.get(run.job)!;
      const homes = homesOfRoute(world, findRoute(world, host, path), workspace);
      const id = demandIdOf(service, homes);
      demands.set(id, { homes, count: (demands.get(id)?.count ?? 0) + 1 });
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
