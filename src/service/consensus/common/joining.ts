/**
 * Voters with an empty data folder. A voter whose disk was replaced has lost its votes and the
 * entries that it acknowledged, so it must not vote before it has caught up with a leader whose
 * lease is valid. In a new installation, where every voter is new, the first leader needs the votes
 * of all voters. A voter with an entry in its log never grants such a vote, so no committed entry
 * can be lost.
 */
import type { World } from '../../world/common/world.js';
import { changeReplica, replicaOf, requestWrite } from './replicaLog.js';

/** Records durably that this daemon holds every entry that it has acknowledged. */
export const markJoined = (world: World): void => {
  if (replicaOf(world).hasJoined) return;
  changeReplica(world, { hasJoined: true });
  requestWrite(world, { kind: 'joined' });
};

/** Whether this daemon can vote for a candidate, given whether the candidate is new. */
export const canVoteFor = (world: World, isNew: boolean): boolean => {
  const { hasJoined, lastIndex } = replicaOf(world);
  return isNew ? lastIndex === 0 : hasJoined;
};

/**
 * Returns the number of votes that this daemon needs to be elected: a quorum if it has joined,
 * otherwise all voters. Returns infinity if there are no voters.
 */
export const requiredVotes = (world: World): number => {
  const voters = world.members.size();
  if (voters === 0) return Number.POSITIVE_INFINITY;
  return replicaOf(world).hasJoined ? Math.floor(voters / 2) + 1 : voters;
};
