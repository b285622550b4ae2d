/**
 * Decides whether a request may be sent to an upstream at its place. Every selection of an upstream
 * asks this before a request is sent; no other module decides that.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { isDeclarationFresh } from '../../declaration/common/findRoute.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import type { ZoneId } from './evacuationTables.js';
import { isUpstreamInHomes, type Homes } from './homes.js';

/** Whether the operator has evacuated an availability zone, as far as this daemon knows. */
export const isZoneEvacuated = (world: World, zone: string): boolean =>
  world.fleet.places.canEvacuate &&
  world.evacuations.get(asBrand<ZoneId>(zone))?.isInForce === true;

/**
 * Whether this daemon knows which zones are evacuated, so that it may send new requests. Its state
 * must be fresh at the moment of the send; an evacuation is in force everywhere once the states of
 * before its acknowledgement are no longer fresh.
 */
export const canSendNewRequests = (world: World, now: Instant): boolean =>
  !world.fleet.places.canEvacuate || isDeclarationFresh(world, now);

/** Whether a request with these homes may be sent to an upstream now. */
export const isPlaceAllowed = (
  world: World,
  upstream: Pick<RegistrationRow, 'zone'>,
  homes: Homes,
): boolean => !isZoneEvacuated(world, upstream.zone) && isUpstreamInHomes(world, homes, upstream);
