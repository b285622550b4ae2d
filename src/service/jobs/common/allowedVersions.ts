/**
 * Checks whether the weight versions that generated a text are acceptable for its job.
 */
import { findRoute } from '../../declaration/common/findRoute.js';
import type { World } from '../../world/common/world.js';
import type { JobRow } from './jobTables.js';

/** Whether the route of a job requires that a single weight version generates each text. */
export const isSingleVersion = (world: World, job: JobRow): boolean =>
  findRoute(world, job.host, job.path)?.isSingleVersion ?? false;

/** Whether a job accepts a text that these weight versions generated. */
export const isVersionSetAllowed = (
  world: World,
  job: JobRow,
  versions: readonly number[],
): boolean => {
  if (isSingleVersion(world, job) && versions.length > 1) return false;
  return versions.every((version) => version >= job.minimumVersion);
};
