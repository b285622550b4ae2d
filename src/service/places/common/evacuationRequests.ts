/**
 * Creates the commands for the requests of an operator. A command holds what the daemon had applied
 * when the request arrived.
 */
import { leadershipOf } from '../../consensus/common/lease.js';
import type { World } from '../../world/common/world.js';
import type { ZoneEvacuated, ZoneRestored } from './evacuationCommands.js';

/** Creates the command that evacuates a zone. */
export const createZoneEvacuated = (world: World, zone: string): ZoneEvacuated => ({
  kind: 'zoneEvacuated',
  zone,
  at: world.wallNow(),
  seenIndex: leadershipOf(world).appliedIndex,
});

/** Creates the command that withdraws the evacuation of a zone. */
export const createZoneRestored = (world: World, zone: string): ZoneRestored => ({
  kind: 'zoneRestored',
  zone,
  seenIndex: leadershipOf(world).appliedIndex,
});
