/**
 * Voters whose disk was lost. Such a voter has forgotten its votes and the entries that it
 * acknowledged, so until it has caught up with a leader whose lease is valid, its vote does not count
 * towards a quorum. An initial voter whose disk is the one of the first start has lost nothing, so it
 * counts as joined from its start. Where the settings list the voters, an empty disk may be a new or a
 * lost one: the first leader of an installation in which too few have joined needs the votes of all
 * voters. One that holds an entry never grants such a vote, so no accepted entry can be lost.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
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

/** Whether an empty disk means that its content was lost, and is not one of a new installation. */
export const hasLostDisk = (world: World): boolean =>
  world.deployment.discovery === Discovery.Announced && !isFoundingVoter(world);

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

/** Votes by which a candidate is elected. */
export const ElectionBasis = {
  /** Full votes of more than half of the voters. */
  Quorum: 'quorum',
  /** Votes of all voters, too few of which are full. */
  AllVoters: 'all',
} as const;
export type ElectionBasis = ValueOf<typeof ElectionBasis>;

/**
 * Returns by which votes this daemon is elected, or null if it was granted too few. Conditional votes
 * count only for a candidate without entries: the voters that another one knows may have been
 * replaced since, by daemons that hold accepted entries.
 */
export const findElectionBasis = (world: World): ElectionBasis | null => {
  const votes = [...world.members.rows()].map(({ grantedVote }) => grantedVote);
  const fullVotes = votes.filter((vote) => vote === GrantedVote.Full);
  if (fullVotes.length > votes.length / 2) return ElectionBasis.Quorum;
  const isUnanimous = votes.length > 0 && !votes.includes(GrantedVote.None);
  return isUnanimous && replicaOf(world).lastIndex === 0 ? ElectionBasis.AllVoters : null;
};
