/**
 * Decides in which regions the items of a job may run, and its contents may be stored.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { WorkspaceRow } from '../../declaration/common/declarationTables.js';
import { findRoute } from '../../declaration/common/findRoute.js';
import { computeHomes, homesOfRoute, type Homes } from '../../places/common/homes.js';
import type { World } from '../../world/common/world.js';
import type { JobRow } from './jobTables.js';

/**
 * Returns the regions by the declaration in force. A job whose route or workspace was withdrawn stays
 * bound by its home regions at its submission too.
 */
export const homesOfJob = (
  world: World,
  {
    host,
    path,
    workspace,
    homeRegions,
  }: Pick<JobRow, 'host' | 'path' | 'workspace' | 'homeRegions'>,
): Homes => {
  const route = findRoute(world, host, path);
  const declared = homesOfRoute(world, route, workspace);
  const isWorkspaceDeclared =
    workspace === null || world.declaredWorkspaces.has(asBrand<WorkspaceRow['id']>(workspace));
  const isDeclared = route !== undefined && isWorkspaceDeclared;
  return isDeclared || declared?.length === 0
    ? declared
    : computeHomes(declared ?? [], homeRegions);
};
