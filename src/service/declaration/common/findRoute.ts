/**
 * Looks up the route, the service and the workspace of a request in the declaration in force, and
 * checks whether this daemon's declaration is recent enough to answer from. It only reads rows; the
 * selection of a service consumes a random number of the world.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { leadershipOf } from '../../consensus/common/lease.js';
import type { World } from '../../world/common/world.js';
import { declarationId, type CallerKeyRow, type RouteRow } from './declarationTables.js';

/** Whether this daemon has a declaration that counts as up to date. */
export const isDeclarationFresh = (world: World, now: Instant): boolean =>
  world.declarations.has(declarationId) && now < leadershipOf(world).freshnessDeadline;

/**
 * Additional freshness that is required to refuse a request. A new route or key must be served
 * everywhere within the time in which a declaration takes effect, which is shorter than the time
 * allowed for withdrawals.
 */
const refusalMarginMilliseconds = 2_000;

/**
 * Whether the declaration is recent enough to refuse a request because its route or key is unknown.
 */
export const isFreshEnoughToRefuse = (world: World, now: Instant): boolean =>
  isDeclarationFresh(world, now + refusalMarginMilliseconds);

/** Whether the declaration in force names a service. */
export const isServiceDeclared = (world: World, service: string): boolean =>
  world.declarations
    .get(declarationId)
    ?.declaration.services.some(({ name }) => name === service) ?? false;

/** Returns the route of the host with the longest prefix that matches the path. */
export const findRoute = (world: World, host: string, path: string): RouteRow | undefined =>
  world.routes
    .where('host', host)
    .filter(({ prefix }) => path.startsWith(prefix))
    .reduce<RouteRow | undefined>(
      (longest, route) =>
        longest === undefined || route.prefix.length > longest.prefix.length ? route : longest,
      undefined,
    );

/** Returns the row of a caller key, which names its workspace; undefined if the key is unknown. */
export const findCallerKey = (world: World, key: string | null): CallerKeyRow | undefined =>
  key === null ? undefined : world.callerKeys.get(asBrand(key));

/** Whether requests on the route require a key. */
export const isKeyRequired = (world: World, route: RouteRow): boolean =>
  !route.isOpen && world.declarations.get(declarationId)?.declaration.workspaces !== null;

/** Selects one of the services of a route at random, in proportion to their weights. */
export const selectService = (world: World, route: RouteRow): string => {
  const sum = route.targets.reduce((total, { weight }) => total + weight, 0);
  const resolution = 1_000_000;
  let remainingWeight = (world.random.nextInteger(resolution) / resolution) * sum;
  const selected = route.targets.find(({ weight }) => {
    remainingWeight -= weight;
    return remainingWeight < 0;
  });
  return (selected ?? route.targets.at(-1)!).service;
};
