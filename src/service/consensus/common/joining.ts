/**
 * Voters whose disk was lost. Such a voter has forgotten its votes and the entries that it
 * acknowledged, so until it has caught up with a leader whose lease is valid, its vote does not count
 * towards a quorum: it is conditional on the votes of all others. Once every voter has granted its
 * vote, no disk holds more than the candidate, so no entry that still exists can be lost. An initial
 * voter whose disk is the one of the first start has lost nothing, so it counts as joined from its
 * start. Where the settings list the voters, an empty disk may be a new or a lost one.
 */
import { Discovery } from '../../../infrastructure/settings/common/deployment.js';
import type { World } from '../../world/common/world.js';
import { changeReplica, replicaOf, requestWrite } from './replicaLog.js';
import { GrantedVote, ReplicaState } from './replicaTables.js';

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

/**
 * Returns what the vote of this daemon counts: a voter that may have lost entries, and a daemon that
 * does not know whether it votes, vote conditionally.
 */
export const ownVoteOf = (world: World): GrantedVote => {
  const { hasJoined, state } = replicaOf(world);
  return hasJoined && state !== ReplicaState.Learner ? GrantedVote.Full : GrantedVote.Conditional;
};

/**
 * Smallest number of changeable voters of which conditional votes can elect a leader. A leader of two
 * voters may add a third and accept entries with it alone. If its disk is then lost, the other of the
 * two holds none of these entries, and neither of the two knows of the third.
 */
const minimumVotersForUnanimity = 3;

/** Whether votes that are in part conditional elect a daemon to which every voter grants its vote. */
const canElectUnanimously = (world: World, voterCount: number): boolean =>
  world.deployment.discovery === Discovery.Listed
    ? voterCount > 0
    : voterCount >= minimumVotersForUnanimity;

/** Whether the votes that this daemon was granted elect it. */
export const hasEnoughVotes = (world: World): boolean => {
  const votes = [...world.members.rows()].map(({ grantedVote }) => grantedVote);
  const fullVotes = votes.filter((vote) => vote === GrantedVote.Full);
  const isUnanimous = !votes.includes(GrantedVote.None);
  return (
    fullVotes.length > votes.length / 2 || (isUnanimous && canElectUnanimously(world, votes.length))
  );
};
