/**
 * Counts the items that wait for upstreams in their home regions, for the metrics page.
 */
import type { World } from '../../world/common/world.js';
import { homesOfJob } from './jobHomes.js';
import { RunState } from './jobTables.js';

/** Counted for items whose route and workspace share no home region. */
const noRegion = 'none';

/**
 * Returns the number of waiting items that may run in each region because it is one of their home
 * regions, including regions without any. An item counts in each of its home regions.
 */
export const countItemsWaitingByRegion = (world: World): ReadonlyMap<string, number> => {
  const regions = [noRegion, ...Object.values(world.fleet.places.regionByZone)];
  const counts = new Map(regions.map((region) => [region, 0]));
  world.runs.where('state', RunState.Waiting).forEach((run) => {
    const job = world.jobs.get(run.job);
    if (job === undefined) return;
    const homes = homesOfJob(world, job);
    (homes?.length === 0 ? [noRegion] : (homes ?? [])).forEach((region) =>
      counts.set(region, (counts.get(region) ?? 0) + 1),
    );
  });
  return counts;
};
