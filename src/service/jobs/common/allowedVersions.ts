/**
 * Which weight versions may have made the text of an item.
 */
import { findRoute } from '../../declaration/common/findRoute.js';
import type { World } from '../../world/common/world.js';
import type { JobRow } from './jobTables.js';

/** Whether the route of a job wants each text made by one version alone. */
export const isSingleVersion = (world: World, job: JobRow): boolean =>
  findRoute(world, job.host, job.path)?.isSingleVersion ?? false;

/** Whether the versions of a text are among those that its job allows. */
export const isVersionSetAllowed = (
  world: World,
  job: JobRow,
  versions: readonly number[],
): boolean => {
  if (isSingleVersion(world, job) && versions.length > 1) return false;
  return versions.every((version) => version >= job.minimumVersion);
};
