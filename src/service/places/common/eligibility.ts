/**
 * Decides whether a request may be sent to an upstream at its place. Every selection of an upstream
 * asks this before a request is sent; no other module decides by place.
 */
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { isUpstreamInHomes, type Homes } from './homes.js';

/** Whether a request with these homes may be sent to an upstream now. */
export const isPlaceAllowed = (
  world: World,
  upstream: Pick<RegistrationRow, 'zone'>,
  homes: Homes,
): boolean => isUpstreamInHomes(world, homes, upstream);
