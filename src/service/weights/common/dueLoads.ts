/**
 * Which engines of a model load its newest version. Those whose version the jobs do not allow any more
 * must. Of the others only so many do that with each version an equal part becomes too old: so a version
 * is loaded on a part of the engines, and the others run on meanwhile.
 */
import type { JobRow } from '../../jobs/common/jobTables.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { heldVersion, versionLagOf, newestVersion } from './engines.js';

const latestJobOf = (world: World, model: string): JobRow | undefined =>
  [...world.jobs.rows()]
    .filter((job) => job.model === model)
    .reduce<JobRow | undefined>(
      (latest, job) =>
        latest === undefined || job.submittedAt > latest.submittedAt ? job : latest,
      undefined,
    );

/** By how many versions an engine may lag, as the latest job of the model allowed when it came. */
const allowedLagOf = (world: World, model: string): number => {
  const job = latestJobOf(world, model);
  return job === undefined ? 0 : Math.max(0, job.newestVersion - job.minimumVersion);
};

/** The engines of a model that are to load its newest version now. */
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
