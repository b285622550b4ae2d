/**
 * Whether the declaration allows a request: its route and the workspace of its key. A refusal that rests
 * on the declaration is given only while it is known to be in force.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Instant } from '../../../base/common/time.js';
import type { RouteRow } from '../../declaration/common/declarationTables.js';
import {
  findRoute,
  findWorkspace,
  isDeclarationFresh,
  canDeny,
  needsKey,
} from '../../declaration/common/findRoute.js';
import type { World } from '../../world/common/world.js';
import { CallRefusalKind } from './callRefusal.js';

/** What the declaration is asked about. */
export interface CallerClaim {
  readonly host: string;
  readonly path: string;
  readonly key: string | null;
  /** Whether the system itself makes the request, for which no key is needed. */
  readonly isOwn: boolean;
}

/** What the declaration allows. */
export interface AllowedCaller {
  readonly route: RouteRow;
  readonly workspace: string | null;
}

const denialOf = (world: World, kind: CallRefusalKind, now: Instant): CallRefusalKind =>
  canDeny(world, now) ? kind : CallRefusalKind.NotReady;

/** Checks the key alone, for requests that name no route. */
export const checkKey = (
  world: World,
  key: string | null,
  now: Instant,
): Result<string | null, CallRefusalKind> => {
  if (!isDeclarationFresh(world, now)) return err(CallRefusalKind.NotReady);
  const holder = findWorkspace(world, key);
  return holder === undefined
    ? err(denialOf(world, CallRefusalKind.UnknownKey, now))
    : ok(holder.workspace);
};

/** Checks route and key. */
export const checkCaller = (
  world: World,
  claim: CallerClaim,
  now: Instant,
): Result<AllowedCaller, CallRefusalKind> => {
  if (!isDeclarationFresh(world, now)) return err(CallRefusalKind.NotReady);
  const route = findRoute(world, claim.host, claim.path);
  if (route === undefined) return err(denialOf(world, CallRefusalKind.UnknownRoute, now));
  const holder = claim.isOwn ? undefined : findWorkspace(world, claim.key);
  const isMissing = holder === undefined && !claim.isOwn && needsKey(world, route);
  if (isMissing) return err(denialOf(world, CallRefusalKind.UnknownKey, now));
  return ok({ route, workspace: holder?.workspace ?? null });
};
