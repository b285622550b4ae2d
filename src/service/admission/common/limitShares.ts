/**
 * Computes the share of a workspace limit that this entry may use. A quarter of the limit is
 * divided evenly among the entries, so that a workspace is served at once on an entry that had no
 * requests of it; the rest is divided by demand. Demand reports are up to one heartbeat old, so the
 * sum of all shares can temporarily differ from the limit. Entries that cannot reach each other
 * divide the limit among the entries that they reach. A share is at least 1.
 */
import { DaemonState } from '../../membership/common/membershipTables.js';
import { RequestState } from '../../traffic/common/trafficTables.js';
import type { WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';

const evenFraction = 0.25;

/**
 * Returns the number of callers' requests of a workspace that wait on this entry, without samples.
 */
export const countWaitingRequests = (world: World, workspace: WorkspaceName): number =>
  world.requests.count('workspaceState', `${RequestState.Waiting}|${workspace}`);

/**
 * Returns the number of callers' requests of a workspace that run for this entry, without samples.
 */
export const countRunningRequests = (world: World, workspace: WorkspaceName): number =>
  world.requests.count('workspaceState', `${RequestState.Running}|${workspace}`);

/**
 * Computes the part of `limit` that an entry with `ownDemand` requests may use if `entries` entries
 * share it. Returns the full limit if no other entry has demand.
 */
export const computeShare = (
  limit: number,
  entries: number,
  ownDemand: number,
  otherDemand: number,
): number => {
  if (otherDemand === 0) return limit;
  const evenShare = (evenFraction * limit) / entries;
  const demandShare =
    ((1 - evenFraction) * limit * ownDemand) / Math.max(1, ownDemand + otherDemand);
  return Math.max(1, Math.floor(evenShare + demandShare));
};

/** Computes the share of this entry in a limit of a workspace. */
export const computeOwnShare = (world: World, workspace: WorkspaceName, limit: number): number => {
  const entries = Math.max(1, world.daemons.count('state', DaemonState.Alive));
  const ownDemand = countWaitingRequests(world, workspace) + countRunningRequests(world, workspace);
  const otherDemand = world.otherDemands.get(workspace)?.requests ?? 0;
  return computeShare(limit, entries, ownDemand, otherDemand);
};
