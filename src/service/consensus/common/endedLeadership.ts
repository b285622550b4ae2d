/**
 * Early release of a lease. Voters refuse to vote until the lease of their last known leader has
 * expired. A daemon that no longer leads, because it stepped down or because it restarted and its
 * log shows that it led, reports the ended term in its heartbeats. It must never lead in that term
 * again, so the report stays valid however late it arrives, and voters that wait for that leader
 * can vote at once.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { electionJitterAfterLeadershipEndMilliseconds } from './consensusTiming.js';
import { changeReplica, replicaOf, snapshotOf } from './replicaLog.js';
import { entryIdOf, ReplicaState } from './replicaTables.js';

/** Returns the leader that the snapshot names for a term, or null if it is of another term. */
const findLeaderInSnapshot = (world: World, term: number): DaemonId | null => {
  const header = snapshotOf(world)?.header;
  return header?.term === term ? (header.leader as DaemonId | null) : null;
};

/**
 * Returns the leader recorded for a term in the entries up to `lastIndex`, by default all of them, or
 * null if there is none.
 */
export const findLeaderInLog = (
  world: World,
  term: number,
  lastIndex: number = replicaOf(world).lastIndex,
): DaemonId | null => {
  for (let index = lastIndex; index > 0; index -= 1) {
    const entry = world.logEntries.get(entryIdOf(index));
    if (entry === undefined) return findLeaderInSnapshot(world, term);
    if (entry.term !== term) return null;
    if (entry.command.kind === 'leadershipTaken') return entry.command.leader as DaemonId;
  }
  return null;
};

/** Whether a voter in a state waits for messages from a leader. */
const isWaitingForLeader: Readonly<Record<ReplicaState, boolean>> = {
  recovering: false,
  learner: false,
  follower: true,
  preCandidate: true,
  candidate: false,
  leader: false,
  failed: false,
};

/** Returns the randomized time at which a voter that need not wait for a lease requests votes. */
export const electionDeadlineAfterLeadershipEnd = (world: World, now: Instant): Instant =>
  deadlineAfter(now, world.random.nextInteger(electionJitterAfterLeadershipEndMilliseconds));

/**
 * Handles the last ended term that the sender of a heartbeat reports. The leases of earlier leaders
 * had expired when the sender was elected, so only the sender's lease can depend on this voter.
 */
export const handleEndedTerm = (
  world: World,
  sender: DaemonRow,
  endedTerm: number,
  now: Instant,
): void => {
  const { state, term, voteRefusalLeader, electionDeadline } = replicaOf(world);
  if (!isWaitingForLeader[state] || voteRefusalLeader !== sender.id || endedTerm < term) return;
  changeReplica(world, {
    leader: null,
    voteRefusalLeader: null,
    voteRefusalDeadline: Number.NEGATIVE_INFINITY,
    electionDeadline: Math.min(electionDeadline, electionDeadlineAfterLeadershipEnd(world, now)),
  });
};
