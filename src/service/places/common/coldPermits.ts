/**
 * Grants permits for requests to cold upstreams on the leader, and holds them on the daemons that
 * requested them. The leader itself takes its permits from the same budget without a message.
 */
import {
  deadlineAfter,
  never,
  remainingUntil,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../consensus/common/replicaTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { DaemonId, UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import {
  budgetWindowMilliseconds,
  computeBudget,
  computeRetryInstant,
  computeRoomInstant,
  countGrantablePermits,
  listCountedGrants,
  permitLifetimeMilliseconds,
  type ColdLimits,
} from './coldBudget.js';
import type { ColdMessage } from './coldMessages.js';
import { coldEndOf, coldLimitsOf } from './coldState.js';
import type { ColdBudgetRow, ColdLeadershipRow, ColdPermitRow } from './coldTables.js';

/**
 * Time after which a request without an answer is repeated; more than a round trip between regions
 * (160 ms).
 */
export const repeatMilliseconds: Milliseconds = 200;

export const coldLeadershipId: ColdLeadershipRow['id'] = asBrand('coldLeadership');

/**
 * Returns the time from which this daemon grants permits in its present term; `never` if it cannot
 * act as the leader.
 */
export const grantInstantOf = (world: World, now: Instant): Instant => {
  const replica = replicaOf(world);
  const leadership = world.coldLeaderships.get(coldLeadershipId);
  const isKnown = leadership?.term === replica.term && isCurrentLeader(replica, now);
  return isKnown ? leadership.grantDeadline : never;
};

const unusedBudget = (upstream: UpstreamId): ColdBudgetRow => ({
  id: upstream,
  grants: [],
  refusedUntil: Number.NEGATIVE_INFINITY,
  isRefusing: false,
  retentionDeadline: Number.NEGATIVE_INFINITY,
});

const budgetOf = (world: World, upstream: UpstreamId): ColdBudgetRow =>
  world.coldBudgets.get(upstream) ?? unusedBudget(upstream);

/** Returns the number of permits that this daemon can grant as the leader now. */
const countGrantable = (
  world: World,
  upstream: UpstreamId,
  limits: ColdLimits,
  now: Instant,
): number =>
  grantInstantOf(world, now) > now
    ? 0
    : countGrantablePermits(limits, budgetOf(world, upstream).grants, now);

const recordGrants = (world: World, upstream: UpstreamId, count: number, now: Instant): void => {
  if (count === 0) return;
  const budget = budgetOf(world, upstream);
  world.coldBudgets.put({
    ...budget,
    grants: [...listCountedGrants(budget.grants, now), ...Array.from({ length: count }, () => now)],
    retentionDeadline: Math.max(
      budget.retentionDeadline,
      deadlineAfter(now, budgetWindowMilliseconds),
    ),
  });
  world.metrics.count('coldPermits.granted', count);
};

/** Records a refusal, and logs the first one since the budget was unused. */
const recordRefusal = (
  world: World,
  upstream: UpstreamId,
  limits: ColdLimits,
  refusedUntil: Instant,
): void => {
  const budget = budgetOf(world, upstream);
  const isExhausted = budget.grants.length > 0;
  world.metrics.count('coldPermits.refused');
  world.coldBudgets.put({
    ...budget,
    refusedUntil,
    isRefusing: budget.isRefusing || isExhausted,
    retentionDeadline: Math.max(budget.retentionDeadline, refusedUntil),
  });
  if (budget.isRefusing || !isExhausted) return;
  world.events.append({
    kind: EventKind.ColdPermitsRefused,
    subject: {
      upstream,
      granted: budget.grants.length,
      budget: computeBudget(limits),
      windowMilliseconds: budgetWindowMilliseconds,
    },
  });
};

/** Returns the time at which a daemon that got fewer permits than it requested may ask again. */
const refusePermits = (
  world: World,
  upstream: UpstreamId,
  limits: ColdLimits,
  now: Instant,
): Instant => {
  const { grants, refusedUntil } = budgetOf(world, upstream);
  const grantInstant = grantInstantOf(world, now);
  const roomInstant = Math.max(grantInstant, computeRoomInstant(limits, grants, now));
  const retryInstant = computeRetryInstant(limits, roomInstant, refusedUntil, now);
  recordRefusal(world, upstream, limits, retryInstant);
  return retryInstant;
};

/** Returns the time at which the leader itself may take further permits. */
export const roomInstantOf = (world: World, upstream: RegistrationRow, now: Instant): Instant => {
  const limits = coldLimitsOf(world, upstream.service);
  if (limits === undefined) return now;
  const { grants } = budgetOf(world, upstream.id);
  return Math.max(grantInstantOf(world, now), computeRoomInstant(limits, grants, now));
};

type PermitRequest = Extract<ColdMessage, { kind: 'coldPermitsRequested' }>;

const answerRequest = (
  world: World,
  to: DaemonId,
  { request, upstream, startedAt }: PermitRequest,
  count: number,
  remaining: Milliseconds,
): void =>
  world.outgoingMessages.append({
    to,
    message: {
      kind: 'coldPermitsGranted',
      request,
      upstream,
      startedAt,
      count,
      remaining,
    },
  });

/** Handles a request on the leader; one that names an earlier start than is registered is refused. */
const handleRequest = (world: World, to: DaemonId, message: PermitRequest, now: Instant): void => {
  const id = asBrand<UpstreamId>(message.upstream);
  const row = world.registrations.get(id);
  const limits = row === undefined ? undefined : coldLimitsOf(world, row.service);
  if (grantInstantOf(world, now) === never) return;
  if (row === undefined || limits === undefined || message.startedAt < row.startedAt) {
    answerRequest(world, to, message, 0, repeatMilliseconds);
    return;
  }
  const count = Math.min(message.count, countGrantable(world, id, limits, now));
  recordGrants(world, id, count, now);
  const retryInstant = count < message.count ? refusePermits(world, id, limits, now) : now;
  answerRequest(world, to, message, count, remainingUntil(retryInstant, now));
};

/** Stores granted permits; an answer that is not awaited any more is dropped. */
const storePermits = (
  world: World,
  message: Extract<ColdMessage, { kind: 'coldPermitsGranted' }>,
  now: Instant,
): void => {
  const upstream = asBrand<UpstreamId>(message.upstream);
  const row = world.coldRequests.get(upstream);
  if (row?.request !== message.request) {
    world.metrics.count('coldPermits.unexpected', message.count);
    return;
  }
  const repeatDeadline = deadlineAfter(now, message.remaining);
  world.coldRequests.change(upstream, { request: null, count: 0, repeatDeadline });
  if (message.count === 0 || row.permitDeadline <= now) return;
  world.coldPermits.put({
    id: world.identifiers.next<ColdPermitRow['id']>('permit'),
    upstream,
    startedAt: message.startedAt,
    count: message.count,
    permitDeadline: row.permitDeadline,
  });
};

/** Handlers of the messages about permits. */
export const coldHandlers: HandlerTable<ColdMessage, void, [World, DaemonRow, Instant]> = {
  coldPermitsRequested: (message, world, sender, now) =>
    handleRequest(world, sender.id, message, now),
  coldPermitsGranted: (message, world, _, now) => storePermits(world, message, now),
};

const findHeldPermit = (
  world: World,
  { id, startedAt }: RegistrationRow,
  now: Instant,
): ColdPermitRow | undefined =>
  world.coldPermits
    .where('upstream', id)
    .find((permit) => permit.startedAt === startedAt && permit.permitDeadline > now);

/** Whether a request can be sent to a cold upstream of a service with these limits now. */
export const hasPermit = (
  world: World,
  upstream: RegistrationRow,
  limits: ColdLimits,
  now: Instant,
): boolean =>
  findHeldPermit(world, upstream, now) !== undefined ||
  countGrantable(world, upstream.id, limits, now) > 0;

/**
 * Uses a permit immediately before a request is sent. Returns the time from which the request must
 * not be sent any more, `never` for a warm upstream, or undefined without a permit.
 */
export const takePermit = (
  world: World,
  upstream: RegistrationRow,
  now: Instant,
): Instant | undefined => {
  const limits = coldLimitsOf(world, upstream.service);
  if (limits === undefined || coldEndOf(world, upstream, limits, now) <= now) return never;
  if (!hasPermit(world, upstream, limits, now)) return undefined;
  const held = findHeldPermit(world, upstream, now);
  world.metrics.count('coldPermits.used');
  if (held === undefined) {
    recordGrants(world, upstream.id, 1, now);
    return deadlineAfter(now, permitLifetimeMilliseconds);
  }
  if (held.count === 1) world.coldPermits.remove(held.id);
  else world.coldPermits.change(held.id, { count: held.count - 1 });
  return held.permitDeadline;
};
