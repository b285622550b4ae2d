/**
 * Decides where a call may be sent: its home regions in the declaration in force at that moment, the
 * upstreams at allowed places, and whether the declaration is recent enough to rely on them. A call
 * that no registered upstream may serve is refused with the regions that decided.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Instant, Milliseconds } from '../../../base/common/time.js';
import type { EventSubject } from '../../../infrastructure/timeline/common/timelineEvent.js';
import { freshnessMilliseconds } from '../../consensus/common/consensusTiming.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../consensus/common/replicaTables.js';
import type { RouteRow, WorkspaceRow } from '../../declaration/common/declarationTables.js';
import { isDeclarationFresh } from '../../declaration/common/findRoute.js';
import { canSendNewRequests, isPlaceAllowed } from '../../places/common/eligibility.js';
import {
  hasHomeRegions,
  homesOfRoute,
  regionOfZone,
  type Homes,
} from '../../places/common/homes.js';
import { hasAllowedUpstream, selectAllowedService } from '../../places/common/serviceChoice.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { CallRefusalKind } from './callRefusal.js';
import { refuseCall } from './endCall.js';
import type { CallRow } from './forwardingTables.js';

/** Time after its acknowledgement in which a change of home regions is in force everywhere. */
const homeChangeMilliseconds: Milliseconds = 3_000;

/** Value of the metric label `region` for calls whose route and workspace share no home region. */
const noRegion = 'none';

const routeOf = (world: World, { routeId }: CallRow): RouteRow | undefined =>
  routeId === null ? undefined : world.routes.get(routeId);

const isWorkspaceKnown = (world: World, { homeWorkspace }: CallRow): boolean =>
  homeWorkspace === null ||
  world.declaredWorkspaces.has(asBrand<WorkspaceRow['id']>(homeWorkspace));

/**
 * Returns the home regions of a call on a route. The workspace of a job does not bind its scoring
 * requests, which are internal, if it shares no home region with the route of the scorer.
 */
export const homesOfCallOnRoute = (
  world: World,
  route: RouteRow,
  { homeWorkspace, isInternal }: Pick<CallRow, 'homeWorkspace' | 'isInternal'>,
): Homes => {
  const homes = homesOfRoute(world, route, homeWorkspace);
  return isInternal && homes?.length === 0 ? homesOfRoute(world, route, null) : homes;
};

/** Returns the home regions of a call now. */
export const homesOfCall = (world: World, call: CallRow): Homes => {
  const route = routeOf(world, call);
  return route === undefined || !isWorkspaceKnown(world, call)
    ? call.admittedHomes
    : homesOfCallOnRoute(world, route, call);
};

/** Lists the registered upstreams of the service of a call at places that are allowed for it. */
export const listAllowedUpstreams = (world: World, call: CallRow): RegistrationRow[] => {
  const homes = homesOfCall(world, call);
  return world.registrations
    .where('service', call.service)
    .filter((row) => isPlaceAllowed(world, row, homes));
};

/** Whether home regions are declared, and a change of them may be in force everywhere but here. */
const hasOutdatedHomes = (world: World, now: Instant): boolean =>
  !isDeclarationFresh(world, now + freshnessMilliseconds - homeChangeMilliseconds) &&
  !isCurrentLeader(replicaOf(world), now) &&
  hasHomeRegions(world);

/**
 * Whether calls must wait because a change of home regions or of evacuated zones may be in force that
 * this daemon does not know. A leader with a valid lease knows all changes.
 */
export const isHeldForDeclaration = (world: World, now: Instant): boolean =>
  !canSendNewRequests(world, now) || hasOutdatedHomes(world, now);

const describePlacement = (world: World, call: CallRow, homes: readonly string[]): EventSubject => {
  const regions = world.registrations
    .where('service', call.service)
    .map(({ zone }) => regionOfZone(world, zone) ?? zone);
  return {
    homeRegions: homes.join(','),
    candidateRegions: [...new Set(regions)].sort().join(','),
  };
};

/**
 * Refuses a call for which its home regions, if it has any, have no upstream or no free one. The
 * event then names them and the regions in which upstreams of the service are registered.
 */
export const refuseForPlacement = (
  world: World,
  call: CallRow,
  kind: CallRefusalKind,
  now: Instant,
): void => {
  const homes = homesOfCall(world, call);
  if (homes !== null)
    (homes.length === 0 ? [noRegion] : homes).forEach((region) =>
      world.metrics.count('places.callsRefused', 1, { region, kind }),
    );
  refuseCall(world, call, kind, now, homes === null ? {} : describePlacement(world, call, homes));
};

/**
 * Checks before a send that an upstream is registered at an allowed place, and returns the call;
 * undefined if it cannot be sent now. A call that did not run goes to another service of its route
 * if only that one has such upstreams, and is refused if none has. One that may have run waits, and
 * so does any call while this daemon knows no upstream at all, as shortly after its start.
 */
export const placeCall = (world: World, call: CallRow, now: Instant): CallRow | undefined => {
  const homes = homesOfCall(world, call);
  if (homes === null || hasAllowedUpstream(world, call.service, homes)) return call;
  if (call.attempts > 0 || world.registrations.size() === 0) return undefined;
  const route = routeOf(world, call);
  const service =
    route === undefined || call.continuation !== null
      ? call.service
      : selectAllowedService(world, route, homes);
  if (hasAllowedUpstream(world, service, homes)) return world.calls.change(call.id, { service });
  refuseForPlacement(world, call, CallRefusalKind.NoUpstreamInHomes, now);
  return undefined;
};
