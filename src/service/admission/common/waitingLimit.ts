/**
 * Room for a request that is to wait: the limit of its workspace and that of the whole entry. Where
 * there is none, the newest waiting bulk request is shed for a prompt one; else the arriving one is
 * refused.
 */
import type { Instant, Milliseconds } from '../../../base/common/time.js';
import { WorkClass, type Policy } from '../../configuration/common/tree.js';
import { refuseRequest } from '../../traffic/common/endRequest.js';
import { createRefusal, RefusalKind, type Refusal } from '../../traffic/common/refusal.js';
import { allWorkspaces, type RequestRow } from '../../traffic/common/trafficTables.js';
import type { FlowId } from '../../traffic/common/flowTables.js';
import type { WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { computeOwnShare, countWaitingRequests } from './limitShares.js';

/** Requests of callers that may wait on one entry, over all workspaces. */
export const maximumWaitingOnEntry = 4096;

const minimumRetryMilliseconds = 1_000;
const maximumRetryMilliseconds = 60_000;
const jitterSteps = 1_024;

/** The time in which the requests of the flow that wait now are dispatched, by its own pace. */
const estimateDrainMilliseconds = (world: World, flow: FlowId, policy: Policy): Milliseconds => {
  const interval = world.flows.get(flow)?.dispatchInterval ?? 0;
  if (interval === 0) return policy.queueMilliseconds;
  return interval * world.requests.count('flow', flow);
};

/**
 * After how many milliseconds a refused caller should come again: the time in which its queue
 * drains, and up to half as much again, so that refused callers don't come back together.
 */
export const computeRetryAfter = (world: World, flow: FlowId, policy: Policy): Milliseconds => {
  const drainTime = estimateDrainMilliseconds(world, flow, policy);
  const jitterFactor = 1 + world.random.nextInteger(jitterSteps) / (2 * jitterSteps);
  return Math.min(
    maximumRetryMilliseconds,
    Math.max(minimumRetryMilliseconds, drainTime) * jitterFactor,
  );
};

/** The refusal of a request for which there is no room. */
export const createQueueFullRefusal = (world: World, flow: FlowId, policy: Policy): Refusal => ({
  ...createRefusal(RefusalKind.QueueFull, true),
  retryAfterMilliseconds: computeRetryAfter(world, flow, policy),
});

/** Sheds a waiting request, where there is one. */
const shedRequest = (world: World, newest: RequestRow | undefined, now: Instant): boolean => {
  if (newest === undefined) return false;
  world.metrics.count('requests.shed');
  refuseRequest(world, newest, createQueueFullRefusal(world, newest.flow!, newest.policy!), now);
  return true;
};

const hasCapacityInWorkspace = (world: World, workspace: WorkspaceName, policy: Policy): boolean =>
  countWaitingRequests(world, workspace) <
  computeOwnShare(world, workspace, Math.max(1, policy.maximumWaiting));

const hasCapacityOnEntry = (world: World): boolean =>
  world.requests.count('callerWaiting', allWorkspaces) < maximumWaitingOnEntry;

/** What a request needs room for. */
export interface CapacityRequest {
  readonly workspace: WorkspaceName | null;
  readonly workClass: WorkClass;
  readonly policy: Policy;
}

/**
 * Whether the request may wait; sheds a waiting bulk request where a prompt one needs its place.
 */
export const ensureWaitingCapacity = (
  world: World,
  requested: CapacityRequest,
  now: Instant,
): boolean => {
  const { workspace, workClass, policy } = requested;
  const canShed = workClass === WorkClass.Prompt;
  const hasWorkspaceCapacity =
    workspace === null ||
    hasCapacityInWorkspace(world, workspace, policy) ||
    (canShed && shedRequest(world, world.requests.first('newestBulk', workspace), now));
  if (!hasWorkspaceCapacity) return false;
  return (
    hasCapacityOnEntry(world) ||
    (canShed && shedRequest(world, world.requests.first('newestBulkOfAll', allWorkspaces), now))
  );
};
