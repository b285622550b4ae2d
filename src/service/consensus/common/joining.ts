/**
 * Voters with an empty data folder. One whose disk was replaced has forgotten its votes and what it has
 * acknowledged, so it may not help to elect a leader before it has caught up with one whose lease holds.
 * A new installation, in which all are new, elects its first leader by the votes of every voter; a voter
 * whose log holds an entry never gives such a vote, so this cannot pass over anything accepted.
 */
import type { World } from '../../world/common/world.js';
import { changeReplica, replicaOf, requestWrite } from './replicaLog.js';

/** Notes for good that this daemon holds all that it has ever acknowledged. */
export const markJoined = (world: World): void => {
  if (replicaOf(world).hasJoined) return;
  changeReplica(world, { hasJoined: true });
  requestWrite(world, { kind: 'joined' });
};

/** Whether this daemon may vote for a sender who has joined or is new. */
export const canVoteFor = (world: World, isNew: boolean): boolean => {
  const { hasJoined, lastIndex } = replicaOf(world);
  return isNew ? lastIndex === 0 : hasJoined;
};

/** How many votes this daemon needs to be elected. */
export const requiredVotes = (world: World): number => {
  const voters = world.members.size();
  if (voters === 0) return Number.POSITIVE_INFINITY;
  return replicaOf(world).hasJoined ? Math.floor(voters / 2) + 1 : voters;
};
