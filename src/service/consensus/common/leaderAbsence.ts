/**
 * What a voter knows of the reason why there is no leader, as one text. It travels with the entries to
 * all learners, so that the log of any daemon tells it. It serves reports and decides nothing.
 */
import type { Instant } from '../../../base/common/time.js';
import { DaemonState } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import { replicaOf } from './replicaLog.js';
import { ReplicaState, type MemberRow } from './replicaTables.js';
import { findRecentVoteAnswer } from './votes.js';

/** Describes a voter as `NAME=ANSWER/STATE`, or `NAME=self`. */
const describeVoter = (world: World, member: MemberRow, now: Instant): string => {
  if (member.isSelf) return `${member.id}=self`;
  const state = world.daemons.get(member.id)?.state ?? DaemonState.Unknown;
  return `${member.id}=${findRecentVoteAnswer(member, now)}/${state}`;
};

/** Describes each voter by its last answer to this daemon as a candidate, and its state. */
export const describeVoters = (world: World, now: Instant): string =>
  [...world.members.rows()].map((member) => describeVoter(world, member, now)).join(',');

/** Returns why there is no leader, as far as this daemon knows; null if there is one. */
export const describeLeaderAbsence = (world: World, now: Instant): string | null => {
  const { state, leader, leaderAbsence, requestedSequence, syncedSequence } = replicaOf(world);
  if (leader !== null) return null;
  if (state === ReplicaState.Learner) return leaderAbsence;
  const unsyncedWrites = requestedSequence - syncedSequence;
  const storageText = unsyncedWrites > 0 ? ` unsyncedWrites=${unsyncedWrites}` : '';
  return `${state} ${describeVoters(world, now)}${storageText}`;
};
