/**
 * Selects the engines of a model that load its newest version. Engines whose version the jobs no
 * longer allow must load it. Of the others, only so many load it that one engine in (allowed lag +
 * 1) holds it. Equally many engines thus become too old with each version, and the others keep
 * running in the meantime.
 */
import type { JobRow } from '../../jobs/common/jobTables.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { heldVersion, versionLagOf, newestVersion } from './engines.js';

/** Rows are in the order of the log; the times of submission come from clocks that may be set back. */
const latestJobOf = (world: World, model: string): JobRow | undefined =>
  [...world.jobs.rows()].filter((job) => job.model === model).at(-1);

/** Returns the lag, in versions, that the latest job of the model allowed when it was accepted. */
const allowedLagOf = (world: World, model: string): number => {
  const job = latestJobOf(world, model);
  return job === undefined ? 0 : Math.max(0, job.newestVersion - job.minimumVersion);
};

/** Returns the engines of a model that should load its newest version now. */
export const selectModelEnginesToLoad = (
  world: World,
  model: string,
  engines: readonly RegistrationRow[],
): RegistrationRow[] => {
  const allowedLag = allowedLagOf(world, model);
  const outdatedEngines = engines.filter((row) => versionLagOf(world, row, model) > 0);
  const disallowedEngines = outdatedEngines.filter(
    (row) => versionLagOf(world, row, model) > allowedLag,
  );
  const allowedEngines = outdatedEngines
    .filter((row) => versionLagOf(world, row, model) <= allowedLag)
    .sort((first, second) => heldVersion(first, model) - heldVersion(second, model));
  const isNewest = (row: RegistrationRow): boolean =>
    heldVersion(row, model) >= newestVersion(world, model);
  const targetCount = Math.floor(engines.length / (allowedLag + 1));
  const remainingCount = targetCount - engines.filter(isNewest).length - disallowedEngines.length;
  return [...disallowedEngines, ...allowedEngines.slice(0, Math.max(0, remainingCount))];
};
