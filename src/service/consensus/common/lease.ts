/**
 * Leadership as other systems see it, and the lease check. A daemon must hold a valid lease to act
 * on the platform, so ports must repeat the check immediately before each write.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { leadershipId, noLeadership, type LeadershipRow } from './consensusTables.js';
import { freshnessMilliseconds } from './consensusTiming.js';
import { replicaOf } from './replicaLog.js';
import { isCurrentLeader, ReplicaState, type ReplicaRow } from './replicaTables.js';

/** Returns the row of leadership, or its initial value before the first term. */
export const leadershipOf = (world: World): LeadershipRow =>
  world.leadership.get(leadershipId) ?? noLeadership;

/**
 * Whether this daemon is the leader, its lease is valid, and orders of previous leaders can no
 * longer arrive.
 */
export const canActAsLeader = (world: World, now: Instant): boolean => {
  const { isSelf, leaseDeadline, fencing } = leadershipOf(world);
  return isSelf && fencing > 0 && now < leaseDeadline;
};

/**
 * Whether this daemon can act as the leader with this fencing token. A row may outlive the leadership
 * whose token it holds.
 */
export const canActWithToken = (world: World, fencing: number, now: Instant): boolean =>
  canActAsLeader(world, now) && leadershipOf(world).fencing === fencing;

/** Returns the fencing token of orders, or 0 if this daemon must not send orders. */
const fencingTokenOf = (replica: ReplicaRow, now: Instant): number => {
  const { orderDeadline, leadershipIndex, deliveredIndex } = replica;
  return now >= orderDeadline && deliveredIndex >= leadershipIndex ? leadershipIndex : 0;
};

const freshnessDeadlineOf = (replica: ReplicaRow, now: Instant): Instant =>
  isCurrentLeader(replica, now)
    ? replica.leaseDeadline
    : deadlineAfter(replica.currentAsOf, freshnessMilliseconds);

const hasSameColumns = (first: LeadershipRow, second: LeadershipRow): boolean =>
  (Object.keys(first) as (keyof LeadershipRow)[]).every((name) => first[name] === second[name]);

const recordActing = (
  world: World,
  previous: LeadershipRow,
  { term, fencing }: LeadershipRow,
): void => {
  if (fencing === 0 || fencing === previous.fencing) return;
  world.events.append({ kind: EventKind.LeaderActing, subject: { term, fencing } });
};

/** Updates the row of leadership from the state of the replica. */
export const updateLeadership = (world: World, now: Instant): void => {
  const replica = replicaOf(world);
  if (replica.term === 0) return;
  const previous = leadershipOf(world);
  const next: LeadershipRow = {
    id: leadershipId,
    term: replica.term,
    leader: replica.leader,
    isSelf: replica.state === ReplicaState.Leader,
    leaseDeadline: replica.leaseDeadline,
    fencing: fencingTokenOf(replica, now),
    appliedIndex: replica.deliveredIndex,
    freshnessDeadline: Math.max(freshnessDeadlineOf(replica, now), previous.freshnessDeadline),
  };
  if (hasSameColumns(previous, next)) return;
  recordActing(world, previous, next);
  world.leadership.put(next);
};
