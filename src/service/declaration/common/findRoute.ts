/**
 * Which route a request takes, which of its services runs it, and for which workspace.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { leadershipOf } from '../../consensus/common/lease.js';
import type { World } from '../../world/common/world.js';
import { declarationId, type CallerKeyRow, type RouteRow } from './declarationTables.js';

/** Whether this daemon has a declaration and knows that none newer was accepted long before. */
export const isDeclarationFresh = (world: World, now: Instant): boolean =>
  world.declarations.has(declarationId) && now < leadershipOf(world).freshnessDeadline;

/**
 * Refusals need fresher knowledge than answers: a route or key that was added is to be served everywhere
 * within the time in which a declaration comes into force, which is shorter than that for withdrawals.
 */
const refusalMarginMilliseconds = 2_000;

/** Whether this daemon may say that the declaration in force lacks a route or key. */
export const canDeny = (world: World, now: Instant): boolean =>
  isDeclarationFresh(world, now + refusalMarginMilliseconds);

/** The route of the host with the longest prefix that begins the path. */
export const findRoute = (world: World, host: string, path: string): RouteRow | undefined =>
  world.routes
    .where('host', host)
    .filter(({ prefix }) => path.startsWith(prefix))
    .reduce<RouteRow | undefined>(
      (longest, route) =>
        longest === undefined || route.prefix.length > longest.prefix.length ? route : longest,
      undefined,
    );

/** The workspace that holds a key. */
export const findWorkspace = (world: World, key: string | null): CallerKeyRow | undefined =>
  key === null ? undefined : world.callerKeys.get(asBrand(key));

/** Whether requests on the route need a key. */
export const needsKey = (world: World, route: RouteRow): boolean =>
  !route.isOpen && world.declarations.get(declarationId)?.declaration.workspaces !== null;

/** Draws one of the services of a route by their weights. */
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
