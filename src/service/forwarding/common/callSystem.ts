/**
 * Takes calls: admits those that the declaration allows, and ends calls whose time has passed.
 */
import { err, ok } from 'neverthrow';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { RouteKind } from '../../declaration/common/declaration.js';
import type { RouteRow } from '../../declaration/common/declarationTables.js';
import { selectService } from '../../declaration/common/findRoute.js';
import type { World } from '../../world/common/world.js';
import { recordAdmission } from './callEvents.js';
import { CallRefusalKind } from './callRefusal.js';
import { checkCaller } from './checkCaller.js';
import { cancelCall, forgetCalls, refuseCall } from './endCall.js';
import { CallState, isEndedCall, type ArrivedCall, type CallRow } from './forwardingTables.js';

/** A call that no upstream has taken is refused after this share of the objective. */
const offerShare = 0.25;

/** A send that is silent for this many objectives is given up where the call may run again. */
const silenceShare = 1.5;

/** Own calls without a bound of their own end after this time. */
const ownCallMilliseconds = 4_000;

/** The answer of the deadline itself still has to reach the caller. */
const answerMilliseconds = 30;

const callDeadlineOf = (arrived: ArrivedCall, route: RouteRow, now: Instant): Instant => {
  const remaining = arrived.remaining ?? (arrived.isOwn ? ownCallMilliseconds : never);
  const allowed = arrived.isOwn ? never : (route.timeoutMilliseconds ?? never);
  return deadlineAfter(now, Math.min(remaining - answerMilliseconds, allowed));
};

/** Own calls keep their place in the queue until their own deadline, as nobody else could take them. */
const offerDeadlineOf = (arrived: ArrivedCall, route: RouteRow, now: Instant): Instant =>
  arrived.isOwn ? never : deadlineAfter(now, route.objectiveMilliseconds * offerShare);

const emptyCall = (arrived: ArrivedCall, now: Instant): CallRow => ({
  id: arrived.id,
  requestId: arrived.requestId,
  workspace: null,
  route: '',
  service: '',
  state: CallState.Waiting,
  arrivedAt: now,
  isOwn: arrived.isOwn,
  urgency: arrived.urgency,
  isIdempotent: false,
  maximumAttempts: 1,
  attempts: 0,
  failedAnswers: 0,
  tried: [],
  offerDeadline: never,
  silenceMilliseconds: never,
  callDeadline: never,
  backoffDeadline: never,
  answer: null,
  refusal: null,
  retentionDeadline: never,
});

const admit = (
  world: World,
  arrived: ArrivedCall,
  route: RouteRow,
  workspace: string | null,
  now: Instant,
): void => {
  const call = world.calls.put({
    ...emptyCall(arrived, now),
    workspace,
    route: route.name,
    service: selectService(world, route),
    isIdempotent: route.kind === RouteKind.Idempotent,
    maximumAttempts: route.maximumAttempts,
    offerDeadline: offerDeadlineOf(arrived, route, now),
    silenceMilliseconds: route.objectiveMilliseconds * silenceShare,
    callDeadline: callDeadlineOf(arrived, route, now),
    backoffDeadline: now,
  });
  world.metrics.count('calls.admitted', 1, { route: route.name });
  recordAdmission(world, call, now);
};

const refuse = (world: World, arrived: ArrivedCall, kind: CallRefusalKind, now: Instant): void =>
  refuseCall(world, world.calls.put(emptyCall(arrived, now)), kind, now);

const take = (world: World, arrived: ArrivedCall, now: Instant): void =>
  checkCaller(world, arrived, now)
    .andThen((allowed) =>
      allowed.route.kind === RouteKind.Job ? err(CallRefusalKind.UnknownRoute) : ok(allowed),
    )
    .match(
      ({ route, workspace }) => admit(world, arrived, route, workspace, now),
      (kind) => refuse(world, arrived, kind, now),
    );

const expire = (world: World, call: CallRow, now: Instant): void => {
  const isNotRun = call.attempts === 0 && call.state === CallState.Waiting;
  const kind = isNotRun ? CallRefusalKind.DeadlinePassed : CallRefusalKind.AnswerLate;
  refuseCall(world, call, kind, now);
};

const refuseUnoffered = (world: World, call: CallRow, now: Instant): void => {
  if (call.attempts === 0) refuseCall(world, call, CallRefusalKind.NoUpstream, now);
};

/** Creates the system that takes calls and ends those whose time has passed. */
export const createCallSystem = (world: World): System => ({
  name: 'call',
  run: (now) => {
    world.arrivedCalls.takeAll().forEach((arrived) => take(world, arrived, now));
    world.departedCalls.takeAll().forEach((id) => {
      const call = world.calls.get(id);
      if (call !== undefined && !isEndedCall(call)) cancelCall(world, call, now);
    });
    world.calls.takeDue('call', now).forEach((call) => expire(world, call, now));
    world.calls.takeDue('offer', now).forEach((call) => refuseUnoffered(world, call, now));
    forgetCalls(world, now);
  },
});
