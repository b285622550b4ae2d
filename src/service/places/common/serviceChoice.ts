/**
 * Selects the service of a request on a route that divides its requests among several: only among
 * those with upstreams at places that are allowed for the request, if there are any.
 */
import type { RouteRow } from '../../declaration/common/declarationTables.js';
import { selectService } from '../../declaration/common/findRoute.js';
import type { World } from '../../world/common/world.js';
import { isPlaceAllowed } from './eligibility.js';
import type { Homes } from './homes.js';

/** Whether a registered upstream of the service may serve a request with these homes. */
export const hasAllowedUpstream = (world: World, service: string, homes: Homes): boolean =>
  world.registrations.where('service', service).some((row) => isPlaceAllowed(world, row, homes));

/** Requests without home regions are also divided among services without registered upstreams. */
const canBeSelected = (world: World, service: string, homes: Homes): boolean =>
  hasAllowedUpstream(world, service, homes) ||
  (homes === null && world.registrations.count('service', service) === 0);

/** Selects one of the services of a route at random, in proportion to their weights. */
export const selectAllowedService = (world: World, route: RouteRow, homes: Homes): string => {
  if (route.targets.length === 1) return route.targets[0]!.service;
  const targets = route.targets.filter(
    ({ service, weight }) => weight > 0 && canBeSelected(world, service, homes),
  );
  return selectService(world, targets.length === 0 ? route : { ...route, targets });
};
