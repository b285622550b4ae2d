/**
 * Maintains what a daemon knows about cold upstreams: reviews which are cold, requests permits for
 * the requests that wait, and removes expired permits. Runs each tick, after the systems that send
 * requests. Without limits in the settings it has no rows and does nothing.
 */
import type { ChangeReader } from '../../../infrastructure/tables/common/table.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../consensus/common/replicaTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import { overdueInstantOf } from '../../registry/common/registrySystem.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import {
  budgetWindowMilliseconds,
  computeBudget,
  permitLifetimeMilliseconds,
} from './coldBudget.js';
import { coldLeadershipId, repeatMilliseconds, roomInstantOf } from './coldPermits.js';
import { coldEndOf, coldLimitsOf, updateColdClock } from './coldState.js';
import type { ColdDemand, ColdStateRow } from './coldTables.js';

/** Notes the term in which this daemon leads, and when permits of earlier leaders have expired. */
const updateLeadership = (world: World, now: Instant): void => {
  const replica = replicaOf(world);
  if (!isCurrentLeader(replica, now)) return;
  if (world.coldLeaderships.get(coldLeadershipId)?.term === replica.term) return;
  world.coldLeaderships.put({
    id: coldLeadershipId,
    term: replica.term,
    grantDeadline: deadlineAfter(now, budgetWindowMilliseconds),
  });
};

const recordColdChange = (
  world: World,
  { id, service, zone, isColdReported }: RegistrationRow,
  state: Pick<ColdStateRow, 'isCold' | 'startedAt'>,
  previous: ColdStateRow | undefined,
  now: Instant,
): void =>
  world.events.append({
    kind: state.isCold ? EventKind.UpstreamCold : EventKind.UpstreamWarm,
    subject: {
      upstream: id,
      service,
      zone,
      startedAt: state.startedAt,
      isReported: isColdReported,
      lastedMilliseconds: previous === undefined ? null : Math.round(now - previous.since),
    },
  });

const reviewUpstream = (world: World, id: UpstreamId, now: Instant): void => {
  const row = world.registrations.get(id);
  const limits = row === undefined ? undefined : coldLimitsOf(world, row.service);
  if (row === undefined || limits === undefined) {
    world.coldStates.remove(id);
    return;
  }
  const coldEnd = coldEndOf(world, row, limits, now);
  const isCold = coldEnd > now;
  const reviewDeadline = isCold ? coldEnd : overdueInstantOf(row);
  const previous = world.coldStates.get(id);
  const { startedAt } = row;
  const isChanged = previous?.isCold !== isCold || previous.startedAt !== startedAt;
  if (!isChanged && previous.reviewDeadline === reviewDeadline) return;
  const since = isChanged ? now : previous.since;
  world.coldStates.put({ id, startedAt, isCold, since, reviewDeadline });
  const isReportable = isCold || previous?.isCold === true;
  if (isChanged && isReportable) recordColdChange(world, row, { isCold, startedAt }, previous, now);
};

const expirePermits = (world: World, now: Instant): void => {
  world.coldPermits.takeDue('permit', now).forEach(({ id, count }) => {
    world.coldPermits.remove(id);
    world.metrics.count('coldPermits.expired', count);
  });
  world.coldRequests.takeDue('repeat', now).forEach(({ id }) => world.coldRequests.remove(id));
  world.coldBudgets.takeDue('retention', now).forEach(({ id }) => world.coldBudgets.remove(id));
};

/** Requests permits for an upstream, of the leader if another daemon leads. */
const requestPermits = (world: World, upstream: UpstreamId, count: number, now: Instant): void => {
  const row = world.registrations.get(upstream);
  if (row === undefined) return;
  const { leader } = replicaOf(world);
  const isSelf = isCurrentLeader(replicaOf(world), now);
  const isAsked = !isSelf && leader !== null && leader !== world.self.name;
  const request = isAsked ? world.identifiers.next('cold') : null;
  const roomInstant = isSelf ? roomInstantOf(world, row, now) : never;
  world.coldRequests.put({
    id: upstream,
    request,
    startedAt: row.startedAt,
    count: isAsked ? count : 0,
    permitDeadline: deadlineAfter(now, permitLifetimeMilliseconds),
    repeatDeadline: Number.isFinite(roomInstant)
      ? Math.max(roomInstant, now + 1)
      : deadlineAfter(now, repeatMilliseconds),
  });
  if (request === null) return;
  world.metrics.count('coldPermits.requested', count);
  world.outgoingMessages.append({
    to: leader!,
    message: {
      kind: 'coldPermitsRequested',
      request,
      upstream,
      startedAt: row.startedAt,
      count,
    },
  });
};

const budgetOfUpstream = (world: World, upstream: UpstreamId): number => {
  const row = world.registrations.get(upstream);
  const limits = row === undefined ? undefined : coldLimitsOf(world, row.service);
  return limits === undefined ? 0 : computeBudget(limits);
};

/**
 * Distributes demands over upstreams of which permits can be requested. A demand that an open
 * request covers is left out, so permits are requested once for each request that waits and not in
 * each tick.
 */
const distributeDemands = (
  world: World,
  demands: readonly ColdDemand[],
): ReadonlyMap<UpstreamId, number> => {
  const uncovered = new Map([...world.coldRequests.rows()].map(({ id, count }) => [id, count]));
  const counts = new Map<UpstreamId, number>();
  demands.forEach(({ upstreams }) => {
    const covering = upstreams.find((id) => (uncovered.get(id) ?? 0) > 0);
    if (covering !== undefined) {
      uncovered.set(covering, uncovered.get(covering)! - 1);
      return;
    }
    const requestable = upstreams.filter(
      (id) => !world.coldRequests.has(id) && (counts.get(id) ?? 0) < budgetOfUpstream(world, id),
    );
    const minimum = Math.min(...requestable.map((id) => counts.get(id) ?? 0));
    const least = requestable.filter((id) => (counts.get(id) ?? 0) === minimum);
    if (least.length === 0) return;
    const selected = least[world.random.nextInteger(least.length)]!;
    counts.set(selected, minimum + 1);
  });
  return counts;
};

const requestForDemands = (world: World, now: Instant): void => {
  const demands = world.coldDemands.takeAll();
  if (demands.length === 0) return;
  distributeDemands(world, demands).forEach((count, id) => requestPermits(world, id, count, now));
};

const takeReviews = (
  world: World,
  registrations: ChangeReader<UpstreamId>,
  others: readonly ChangeReader<unknown>[],
  now: Instant,
): readonly UpstreamId[] => {
  const changed = registrations.take();
  const due = world.coldStates.takeDue('review', now).map(({ id }) => id);
  const wasSuspended = updateColdClock(world, now);
  const isAllChanged =
    others.map((reader) => reader.take().length > 0).includes(true) || wasSuspended;
  if (!isAllChanged) return [...changed, ...due];
  return [...world.registrations.rows()].map(({ id }) => id);
};

/** Creates the system of cold upstreams. */
export const createColdSystem = (world: World): System => {
  if (world.fleet.places.coldLimit === null) return { name: 'cold', run: () => {} };
  const registrations = world.registrations.createChangeReader();
  const others = [world.declarations.createChangeReader(), world.coldZones.createChangeReader()];
  return {
    name: 'cold',
    run: (now) => {
      updateLeadership(world, now);
      world.coldLeaderships.takeDue('grant', now);
      expirePermits(world, now);
      takeReviews(world, registrations, others, now).forEach((id) =>
        reviewUpstream(world, id, now),
      );
      requestForDemands(world, now);
    },
  };
};
