/**
 * The share of a workspace limit that this entry may use. A quarter of the limit is split evenly
 * over the entries, so that a workspace that comes to an idle entry is served at once; the rest
 * goes by demand. Shares follow reports that are up to a heartbeat old, so for that time the sum of
 * all shares may differ from the limit. Entries that can't hear each other share with those they
 * hear. An entry has at least 1.
 */
import { DaemonState } from '../../membership/common/membershipTables.js';
import { RequestState } from '../../traffic/common/trafficTables.js';
import type { WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';

const evenFraction = 0.25;

/** Requests of callers of this workspace that wait on this entry. */
export const countWaitingRequests = (world: World, workspace: WorkspaceName): number =>
  world.requests.count('workspaceState', `${RequestState.Waiting}|${workspace}`);

/** Requests of callers of this workspace that run for this entry. */
export const countRunningRequests = (world: World, workspace: WorkspaceName): number =>
  world.requests.count('workspaceState', `${RequestState.Running}|${workspace}`);

/** The part of `limit` that an entry with this demand may use, among `entries` that share it. */
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

/** The share of this entry in a limit of a workspace. */
export const computeOwnShare = (world: World, workspace: WorkspaceName, limit: number): number => {
  const entries = Math.max(1, world.daemons.count('state', DaemonState.Alive));
  const ownDemand = countWaitingRequests(world, workspace) + countRunningRequests(world, workspace);
  const otherDemand = world.otherDemands.get(workspace)?.requests ?? 0;
  return computeShare(limit, entries, ownDemand, otherDemand);
};
