/**
 * Voters whose disk was lost. Such a voter has forgotten its votes and the entries that it
 * acknowledged, so it must not vote before it has caught up with a leader whose lease is valid. An
 * initial voter whose disk is the one of the first start has lost nothing, so it counts as joined
 * from its start. Where the settings list the voters, an empty disk may be a new or a lost one; the
 * first leader of such an installation needs the votes of all voters. A voter with an entry in its
 * log never grants such a vote, so no committed entry can be lost.
 */
import { Discovery } from '../../../infrastructure/settings/common/deployment.js';
import type { World } from '../../world/common/world.js';
import { changeReplica, replicaOf, requestWrite } from './replicaLog.js';

/**
 * Whether the disk of this daemon has been the same since the installation was first started with
 * this daemon as a voter. Only then are initial voters stored on it; where the settings list the
 * voters, they tell nothing about the disk.
 */
export const isFoundingVoter = (world: World): boolean =>
  world.deployment.discovery === Discovery.Announced &&
  world.initialVoters.includes(world.self.name);

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
