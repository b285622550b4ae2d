/**
 * Admits or refuses arrived requests. Finds the workspace by the key of the request, checks its
 * access to the service, and stores the current policy in the request, which applies until it ends.
 * Sends nothing to upstreams; routing does.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { findKeyRefusal } from '../../configuration/common/keyChecks.js';
import { effectivePolicy, WorkClass, type Policy } from '../../configuration/common/tree.js';
import { addRetryCredit } from '../../dispatch/common/retryBudget.js';
import { EventKind } from '../../events/common/eventKind.js';
import { isQuarantined } from '../../quarantine/common/crashRecords.js';
import { fingerprintOf } from '../../quarantine/common/fingerprint.js';
import { refuseRequest } from '../../traffic/common/endRequest.js';
import { flowIdOf, laneIdOf } from '../../traffic/common/flowTables.js';
import { createRefusal, RefusalKind } from '../../traffic/common/refusal.js';
import {
  poolIdOfRequest,
  RequestState,
  type RequestRow,
} from '../../traffic/common/trafficTables.js';
import type { WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { ensureWaitingCapacity, createQueueFullRefusal } from './waitingLimit.js';

const isOpenService = (world: World, request: RequestRow): boolean =>
  request.service !== null && world.services.get(request.service)?.settings.open === true;

const findWorkspace = (world: World, request: RequestRow): WorkspaceName | null => {
  if (request.internalWorkspace !== null) return request.internalWorkspace;
  if (request.keyDigest === null) return null;
  return world.keys.get(request.keyDigest)?.workspace ?? null;
};

type AdmissionCheck = (
  world: World,
  request: RequestRow,
  workspace: WorkspaceName | null,
  now: Instant,
) => RefusalKind | undefined;

const checkLeaving: AdmissionCheck = (world, request) =>
  world.isRefusingNewRequests() && request.sample === null ? RefusalKind.Leaving : undefined;

const checkKey: AdmissionCheck = (world, request, _workspace, now) => {
  if (request.internalWorkspace !== null) return undefined;
  if (request.keyDigest === null) {
    return isOpenService(world, request) ? undefined : RefusalKind.MissingKey;
  }
  return findKeyRefusal(world, request.keyDigest, now);
};

const checkService: AdmissionCheck = (world, request) =>
  request.service === null || !world.services.has(request.service)
    ? RefusalKind.UnknownService
    : undefined;

const checkServiceAllowed: AdmissionCheck = (world, request, workspace) => {
  if (workspace === null) return undefined;
  const allowedServices = world.workspaces.get(workspace)?.settings.services ?? [];
  return allowedServices.includes(request.service!) ? undefined : RefusalKind.ServiceNotAllowed;
};

const checkQuarantine: AdmissionCheck = (world, { digest }, workspace) =>
  isQuarantined(world, fingerprintOf(workspace, digest)) ? RefusalKind.Quarantined : undefined;

/** Admission checks in order of precedence: the first refusal is returned to the caller. */
const checks: readonly AdmissionCheck[] = [
  checkLeaving,
  checkKey,
  checkService,
  checkServiceAllowed,
  checkQuarantine,
];

const computePolicy = (
  world: World,
  request: RequestRow,
  workspace: WorkspaceName | null,
): Policy => {
  const service = world.services.get(request.service!)!.settings;
  const settings = workspace === null ? undefined : world.workspaces.get(workspace)?.settings;
  return effectivePolicy(world.tree(), service, settings);
};

/**
 * Returns the work class of a request. Samples are always bulk, regardless of the workspace policy.
 */
const selectWorkClass = (request: RequestRow, policy: Policy): WorkClass =>
  request.sample === null ? policy.workClass : WorkClass.Bulk;

const admitRequest = (
  world: World,
  request: RequestRow,
  workspace: WorkspaceName | null,
  now: Instant,
): void => {
  const policy = computePolicy(world, request, workspace);
  const workClass = selectWorkClass(request, policy);
  const flow = flowIdOf(laneIdOf(poolIdOfRequest(request), workClass), workspace);
  if (
    request.sample === null &&
    !ensureWaitingCapacity(world, { workspace, workClass, policy }, now)
  ) {
    refuseRequest(world, request, createQueueFullRefusal(world, flow, policy), now);
    return;
  }
  world.requests.change(request.id, {
    state: RequestState.Waiting,
    workspace,
    policy,
    workClass,
    flow,
    queueDeadline: deadlineAfter(now, policy.queueMilliseconds),
    requestDeadline: deadlineAfter(now, policy.requestMilliseconds),
  });
  addRetryCredit(world, workspace);
  world.metrics.count('requests.admitted');
  world.events.append({
    kind: EventKind.RequestAdmitted,
    subject: { request: request.id, workspace, service: request.service, sample: request.sample },
  });
};

const handleArrivedRequest = (world: World, request: RequestRow, now: Instant): void => {
  const workspace = findWorkspace(world, request);
  const kind = checks
    .map((check) => check(world, request, workspace, now))
    .find((refusal) => refusal !== undefined);
  if (kind === undefined) admitRequest(world, request, workspace, now);
  else refuseRequest(world, request, createRefusal(kind, true), now);
};

/** Creates the system that admits or refuses arrived requests. */
export const createAdmissionSystem = (world: World): System => {
  const changes = world.requests.createChangeReader();
  return {
    name: 'admission',
    run: (now) =>
      changes.take().forEach((id) => {
        const request = world.requests.get(id);
        if (request?.state === RequestState.Arrived) handleArrivedRequest(world, request, now);
      }),
  };
};
