/**
 * Admits arrived calls that the declaration allows, refuses the others, and ends calls that were
 * cancelled or whose deadline has passed. Sends nothing; the send system does.
 */
import { err, ok } from 'neverthrow';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { RouteKind } from '../../declaration/common/declaration.js';
import type { RouteRow } from '../../declaration/common/declarationTables.js';
import { fingerprintOf } from '../../quarantine/common/fingerprint.js';
import { selectAllowedService } from '../../places/common/serviceChoice.js';
import type { World } from '../../world/common/world.js';
import { recordAdmission } from './callEvents.js';
import { CallRefusalKind } from './callRefusal.js';
import { homesOfCallOnRoute, isHeldForDeclaration, refuseForPlacement } from './callPlaces.js';
import { checkCaller } from './checkCaller.js';
import { cancelCall, removeExpiredCalls, refuseCall } from './endCall.js';
import { locateStream, refuseUnlocatedCalls } from './streamContinuation.js';
import { CallState, hasCallEnded, type ArrivedCall, type CallRow } from './forwardingTables.js';

/** Fraction of the objective after which a call that no upstream has run is refused. */
const firstSendFraction = 0.25;

/** A retryable send is abandoned if it has no answer after this multiple of the objective. */
const silenceObjectiveFactor = 1.5;

/** Time limit of internal calls that specify none. */
const internalCallMilliseconds = 4_000;

/** Time reserved so that the refusal for a passed deadline still reaches the caller in time. */
const answerReserveMilliseconds = 30;

const computeCallDeadline = (arrived: ArrivedCall, route: RouteRow, now: Instant): Instant => {
  const remaining = arrived.remaining ?? (arrived.isInternal ? internalCallMilliseconds : never);
  const routeTimeout = arrived.isInternal ? never : (route.timeoutMilliseconds ?? never);
  return deadlineAfter(now, Math.min(remaining - answerReserveMilliseconds, routeTimeout));
};

/** Internal calls wait until their deadline, because they cannot be sent to another daemon. */
const computeOfferDeadline = (arrived: ArrivedCall, route: RouteRow, now: Instant): Instant =>
  arrived.isInternal ? never : deadlineAfter(now, route.objectiveMilliseconds * firstSendFraction);

const createCallRow = (arrived: ArrivedCall, now: Instant): CallRow => ({
  id: arrived.id,
  requestId: arrived.requestId,
  workspace: null,
  fingerprint: null,
  route: '',
  routeId: null,
  homeWorkspace: null,
  admittedHomes: null,
  service: '',
  state: CallState.Waiting,
  arrivedAt: now,
  isInternal: arrived.isInternal,
  urgency: arrived.urgency,
  isIdempotent: false,
  isResumable: false,
  continuation: null,
  softwareVersion: null,
  locationDeadline: never,
  maximumAttempts: 1,
  attempts: 0,
  failureCount: 0,
  brokenUpstreams: [],
  triedUpstreams: [],
  offerDeadline: never,
  silenceMilliseconds: never,
  callDeadline: never,
  backoffDeadline: never,
  answer: null,
  refusal: null,
  retentionDeadline: never,
});

const isResumableRoute = ({ kind, isResumable }: RouteRow): boolean =>
  kind === RouteKind.Stream && isResumable;

/** On other routes, a call that names an event is a call like any other. */
const continuationOf = ({ takesUp }: ArrivedCall, route: RouteRow): CallRow['continuation'] =>
  takesUp === null || !isResumableRoute(route)
    ? null
    : { ...takesUp, services: route.targets.map(({ service }) => service) };

const admitCall = (
  world: World,
  arrived: ArrivedCall,
  route: RouteRow,
  workspace: string | null,
  now: Instant,
): void => {
  const homeWorkspace = arrived.jobWorkspace ?? workspace;
  const { isInternal } = arrived;
  const admittedHomes = homesOfCallOnRoute(world, route, { homeWorkspace, isInternal });
  const call = world.calls.put({
    ...createCallRow(arrived, now),
    workspace,
    routeId: route.id,
    homeWorkspace,
    admittedHomes,
    fingerprint: fingerprintOf(workspace, arrived.digest),
    route: route.name,
    service: selectAllowedService(world, route, admittedHomes),
    isIdempotent: route.kind === RouteKind.Idempotent,
    isResumable: isResumableRoute(route),
    continuation: continuationOf(arrived, route),
    maximumAttempts: route.maximumAttempts,
    offerDeadline: computeOfferDeadline(arrived, route, now),
    silenceMilliseconds: route.objectiveMilliseconds * silenceObjectiveFactor,
    callDeadline: Math.min(computeCallDeadline(arrived, route, now), world.stopDeadline()),
    backoffDeadline: now,
  });
  world.metrics.count('calls.admitted', 1, { route: route.name });
  recordAdmission(world, call, now);
  locateStream(world, call, now);
};

const refuseArrivedCall = (
  world: World,
  arrived: ArrivedCall,
  kind: CallRefusalKind,
  now: Instant,
): void => refuseCall(world, world.calls.put(createCallRow(arrived, now)), kind, now);

/**
 * Whether a call would have to be ended because this process stops. Before the advice to callers has
 * expired they can't know, and most calls end long before their deadline.
 */
const wouldOutlastProcess = (
  world: World,
  arrived: ArrivedCall,
  route: RouteRow,
  now: Instant,
): boolean => {
  if (now >= world.stopDeadline()) return true;
  return (
    world.isRefusingNewRequests() && computeCallDeadline(arrived, route, now) > world.stopDeadline()
  );
};

const handleArrivedCall = (world: World, arrived: ArrivedCall, now: Instant): void =>
  checkCaller(world, arrived, now)
    .andThen((allowed) =>
      allowed.route.kind === RouteKind.Job ? err(CallRefusalKind.UnknownRoute) : ok(allowed),
    )
    .andThen((allowed) =>
      wouldOutlastProcess(world, arrived, allowed.route, now)
        ? err(CallRefusalKind.Leaving)
        : ok(allowed),
    )
    .match(
      ({ route, workspace }) => admitCall(world, arrived, route, workspace, now),
      (kind) => refuseArrivedCall(world, arrived, kind, now),
    );

const expireCall = (world: World, call: CallRow, now: Instant): void => {
  const isNotRun = call.attempts === 0 && call.state !== CallState.Running;
  const kind = isNotRun ? CallRefusalKind.DeadlinePassed : CallRefusalKind.AnswerLate;
  refuseCall(world, call, kind, now);
};

const refuseUnsentCall = (world: World, call: CallRow, now: Instant): void => {
  if (call.attempts > 0) return;
  if (isHeldForDeclaration(world, now)) refuseCall(world, call, CallRefusalKind.NotReady, now);
  else refuseForPlacement(world, call, CallRefusalKind.NoUpstream, now);
};

/** Lets the calls that have not ended get their final answers before this process stops. */
const applyStopDeadline = (world: World): void =>
  [...world.calls.rows()]
    .filter((call) => !hasCallEnded(call) && call.callDeadline > world.stopDeadline())
    .forEach(({ id }) => world.calls.change(id, { callDeadline: world.stopDeadline() }));

/** Creates the system that admits calls and ends those whose deadline has passed. */
export const createCallSystem = (world: World): System => {
  let appliedStopDeadline = never;
  return {
    name: 'call',
    run: (now) => {
      if (world.stopDeadline() !== appliedStopDeadline) {
        appliedStopDeadline = world.stopDeadline();
        applyStopDeadline(world);
      }
      world.arrivedCalls.takeAll().forEach((arrived) => handleArrivedCall(world, arrived, now));
      world.departedCalls.takeAll().forEach((id) => {
        const call = world.calls.get(id);
        if (call !== undefined && !hasCallEnded(call)) cancelCall(world, call, now);
      });
      world.calls.takeDue('call', now).forEach((call) => expireCall(world, call, now));
      refuseUnlocatedCalls(world, now);
      world.calls.takeDue('offer', now).forEach((call) => refuseUnsentCall(world, call, now));
      removeExpiredCalls(world, now);
    },
  };
};
