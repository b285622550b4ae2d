/**
 * Checks a request against the declaration: its route and the workspace of its key. An unknown
 * route or key is reported only while the declaration is known to be current; otherwise the refusal
 * is `notReady`.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Instant } from '../../../base/common/time.js';
import type { RouteRow } from '../../declaration/common/declarationTables.js';
import {
  findRoute,
  findCallerKey,
  isDeclarationFresh,
  isFreshEnoughToRefuse,
  isKeyRequired,
} from '../../declaration/common/findRoute.js';
import type { World } from '../../world/common/world.js';
import { CallRefusalKind } from './callRefusal.js';

/** The attributes of a request that are checked against the declaration. */
export interface CallerRequest {
  readonly host: string;
  readonly path: string;
  readonly key: string | null;
  /** Whether this system makes the request itself; internal requests need no key. */
  readonly isInternal: boolean;
}

/** The route and the workspace of an allowed request. */
export interface AllowedCaller {
  readonly route: RouteRow;
  readonly workspace: string | null;
}

const selectRefusalKind = (world: World, kind: CallRefusalKind, now: Instant): CallRefusalKind =>
  isFreshEnoughToRefuse(world, now) ? kind : CallRefusalKind.NotReady;

/** Checks only the key, for requests without a route; returns the workspace of the key. */
export const checkKey = (
  world: World,
  key: string | null,
  now: Instant,
): Result<string | null, CallRefusalKind> => {
  if (!isDeclarationFresh(world, now)) return err(CallRefusalKind.NotReady);
  const callerKey = findCallerKey(world, key);
  return callerKey === undefined
    ? err(selectRefusalKind(world, CallRefusalKind.UnknownKey, now))
    : ok(callerKey.workspace);
};

/** Checks the route and the key of a request. */
export const checkCaller = (
  world: World,
  request: CallerRequest,
  now: Instant,
): Result<AllowedCaller, CallRefusalKind> => {
  if (!isDeclarationFresh(world, now)) return err(CallRefusalKind.NotReady);
  const route = findRoute(world, request.host, request.path);
  if (route === undefined) return err(selectRefusalKind(world, CallRefusalKind.UnknownRoute, now));
  const callerKey = request.isInternal ? undefined : findCallerKey(world, request.key);
  const isKeyMissing =
    callerKey === undefined && !request.isInternal && isKeyRequired(world, route);
  if (isKeyMissing) return err(selectRefusalKind(world, CallRefusalKind.UnknownKey, now));
  return ok({ route, workspace: callerKey?.workspace ?? null });
};
