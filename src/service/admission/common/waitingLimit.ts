/**
 * Enforces the queue limits of a workspace and of the entry during admission. If a limit is
 * reached, a prompt request sheds the newest waiting bulk request, if there is one; otherwise the
 * arriving request is refused.
 */
import type { Instant, Milliseconds } from '../../../base/common/time.js';
import { WorkClass, type Policy } from '../../configuration/common/tree.js';
import { refuseRequest } from '../../traffic/common/endRequest.js';
import { createRefusal, RefusalKind, type Refusal } from '../../traffic/common/refusal.js';
import { allWorkspacesGroup, type RequestRow } from '../../traffic/common/trafficTables.js';
import type { FlowId } from '../../traffic/common/flowTables.js';
import type { WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { computeOwnShare, countWaitingRequests } from './limitShares.js';

/** Maximum number of callers' requests that wait on one entry, over all workspaces. */
export const maximumWaitingOnEntry = 4096;

const minimumRetryMilliseconds = 1_000;
const maximumRetryMilliseconds = 60_000;
const jitterSteps = 1_024;

/**
 * Estimates the time to dispatch the waiting requests of a flow from its average dispatch interval.
 */
const estimateDrainMilliseconds = (world: World, flow: FlowId, policy: Policy): Milliseconds => {
  const interval = world.flows.get(flow)?.dispatchInterval ?? 0;
  if (interval === 0) return policy.queueMilliseconds;
  return interval * world.requests.count('flow', flow);
};

/**
 * Computes the retry delay of a refused caller in milliseconds: the estimated time to drain its
 * queue plus a random jitter of up to 50%, so that refused callers don't retry at the same time.
 */
export const computeRetryAfter = (world: World, flow: FlowId, policy: Policy): Milliseconds => {
  const drainTime = estimateDrainMilliseconds(world, flow, policy);
  const jitterFactor = 1 + world.random.nextInteger(jitterSteps) / (2 * jitterSteps);
  return Math.min(
    maximumRetryMilliseconds,
    Math.max(minimumRetryMilliseconds, drainTime) * jitterFactor,
  );
};

/** Creates the refusal of a request that exceeds a queue limit. */
export const createQueueFullRefusal = (world: World, flow: FlowId, policy: Policy): Refusal => ({
  ...createRefusal(RefusalKind.QueueFull, true),
  retryAfterMilliseconds: computeRetryAfter(world, flow, policy),
});

/** Refuses a waiting request to free its place; returns false if there is none. */
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
  world.requests.count('callerWaiting', allWorkspacesGroup) < maximumWaitingOnEntry;

/** The attributes of a request that decide which limits apply to it. */
export interface CapacityRequest {
  readonly workspace: WorkspaceName | null;
  readonly workClass: WorkClass;
  readonly policy: Policy;
}

/**
 * Returns whether the request may wait; sheds a waiting bulk request if a prompt one needs its
 * place.
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
    (canShed &&
      shedRequest(world, world.requests.first('newestBulkOfAll', allWorkspacesGroup), now))
  );
};
