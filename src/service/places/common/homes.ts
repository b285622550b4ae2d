/**
 * Decides in which regions a request may be served and stored. A route and a workspace may each
 * name home regions; a request is bound by both. The modules that select upstreams ask
 * `isPlaceAllowed`, which includes this decision.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { RouteRow, WorkspaceRow } from '../../declaration/common/declarationTables.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';

/** Regions in which a request may be served; null for any region, empty for none. */
export type Homes = readonly string[] | null;

/** Returns the regions that both lists allow; an empty list allows any region. */
export const computeHomes = (
  routeRegions: readonly string[],
  workspaceRegions: readonly string[],
): Homes => {
  if (routeRegions.length === 0 && workspaceRegions.length === 0) return null;
  if (routeRegions.length === 0) return workspaceRegions;
  if (workspaceRegions.length === 0) return routeRegions;
  return routeRegions.filter((region) => workspaceRegions.includes(region));
};

/** Whether a request may be served in a region; an unknown region is allowed only without a limit. */
export const isInHomes = (homes: Homes, region: string | undefined): boolean =>
  homes === null || (region !== undefined && homes.includes(region));

/** Returns the region of an availability zone; undefined if the settings do not name the zone. */
export const regionOfZone = (world: World, zone: string): string | undefined =>
  world.fleet.places.regionByZone[zone];

const workspaceRegionsOf = (world: World, workspace: string | null): readonly string[] =>
  workspace === null
    ? []
    : (world.declaredWorkspaces.get(asBrand<WorkspaceRow['id']>(workspace))?.homeRegions ?? []);

/** Returns the regions in which requests of a workspace on a route may be served now. */
export const homesOfRoute = (
  world: World,
  route: Pick<RouteRow, 'homeRegions'> | undefined,
  workspace: string | null,
): Homes => computeHomes(route?.homeRegions ?? [], workspaceRegionsOf(world, workspace));

/**
 * Returns the regions in which requests for a host are likely to be served: those that all of its
 * routes name, or else those that any of them names; null if one of its routes names none.
 */
export const homesOfHost = (world: World, host: string): Homes => {
  const lists = world.routes.where('host', host).map(({ homeRegions }) => homeRegions ?? []);
  if (lists.length === 0 || lists.some((regions) => regions.length === 0)) return null;
  const union = [...new Set(lists.flat())];
  const common = union.filter((region) => lists.every((regions) => regions.includes(region)));
  return common.length > 0 ? common : union;
};

/** Whether an upstream lies in a region in which a request with these homes may be served. */
export const isUpstreamInHomes = (
  world: World,
  homes: Homes,
  { zone }: Pick<RegistrationRow, 'zone'>,
): boolean => isInHomes(homes, regionOfZone(world, zone));

/** Whether the declaration in force gives any route or workspace home regions. */
export const hasHomeRegions = (world: World): boolean =>
  [...world.routes.rows()].some(({ homeRegions }) => (homeRegions ?? []).length > 0) ||
  [...world.declaredWorkspaces.rows()].some(({ homeRegions }) => homeRegions.length > 0);
