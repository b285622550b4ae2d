/**
 * The end of a lease before its time. Voters refuse to vote until the lease of the leader that they heard
 * of has run out. A daemon that has led and does not any more says so in its heartbeats: it has stepped down,
 * or its process was started anew and its log shows that it led. It never leads in that term again, so the
 * word stays true however late it comes, and the voters that wait for that leader need not wait on.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { electionAfterEndMilliseconds } from './consensusTiming.js';
import { changeReplica, replicaOf } from './replicaLog.js';
import { entryIdOf, ReplicaState } from './replicaTables.js';

/** The leader of a term as the log shows it, or null where the log holds no entry of the term. */
export const loggedLeaderOf = (world: World, term: number): DaemonId | null => {
  for (let index = replicaOf(world).lastIndex; index > 0; index -= 1) {
    const entry = world.logEntries.get(entryIdOf(index));
    if (entry?.term !== term) return null;
    if (entry.command.kind === 'leadershipTaken') return entry.command.leader as DaemonId;
  }
  return null;
};

/** Whether a voter waits for a leader without hearing of it. */
const isWaiting: Readonly<Record<ReplicaState, boolean>> = {
  recovering: false,
  learner: false,
  follower: true,
  preCandidate: true,
  candidate: false,
  leader: false,
  failed: false,
};

/** When a voter that need not wait asks for votes; another time on each daemon. */
export const electionDeadlineAfterEnd = (world: World, now: Instant): Instant =>
  deadlineAfter(now, world.random.nextInteger(electionAfterEndMilliseconds));

/**
 * Acts on the last term in which the sender of a heartbeat has led. Leases of earlier leaders had run out
 * when it was elected, so its own is the only one that this voter may have helped to renew.
 */
export const hearOfEndedTerm = (
  world: World,
  sender: DaemonRow,
  endedTerm: number,
  now: Instant,
): void => {
  const { state, term, refusesFor, electionDeadline } = replicaOf(world);
  if (!isWaiting[state] || refusesFor !== sender.id || endedTerm < term) return;
  changeReplica(world, {
    leader: null,
    refusesFor: null,
    voteRefusalDeadline: Number.NEGATIVE_INFINITY,
    electionDeadline: Math.min(electionDeadline, electionDeadlineAfterEnd(world, now)),
  });
};
