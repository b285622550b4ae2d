/**
 * The set of voters: the initial voters, or those of the latest change in the log. A control daemon
 * that is not a voter is a learner until a leader sends it entries as a voter.
 */
import { asBrand } from '../../../base/common/brand.js';
import { never, type Instant } from '../../../base/common/time.js';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { recordNamedVoters } from './joinProgress.js';
import {
  changeReplica,
  nextElectionDeadline,
  replicaOf,
  snapshotOf,
  termAt,
  truncateLog,
  nonLeaderColumns,
} from './replicaLog.js';
import {
  entryIdOf,
  GrantedVote,
  ReplicaState,
  unsentColumns,
  type MemberRow,
} from './replicaTables.js';
import type { SnapshotHeader } from './snapshot.js';
import { requestStateReplacement } from './stateReplacement.js';
import { VoteAnswer } from './voteRefusal.js';

const createMemberRow = (world: World, id: DaemonId): MemberRow => ({
  id,
  isSelf: id === world.self.name,
  grantedVote: GrantedVote.None,
  voteAnswer: VoteAnswer.NotAsked,
  voteAnsweredAt: Number.NEGATIVE_INFINITY,
  voteRequestedAt: Number.NEGATIVE_INFINITY,
  nextIndex: replicaOf(world).lastIndex + 1,
  ...unsentColumns,
  matchIndex: 0,
  acknowledgedIndex: replicaOf(world).lastIndex,
  renewedAt: Number.NEGATIVE_INFINITY,
  answeredAt: null,
  renewalDeadline: replicaOf(world).state === ReplicaState.Leader ? 0 : never,
  sentCommitIndex: 0,
});

/** Replaces the rows of the table `members` with these voters, and keeps existing rows. */
export const putVoters = (world: World, names: readonly string[]): void => {
  const voterIds = names.map((name) => asBrand<DaemonId>(name));
  [...world.members.rows()]
    .filter(({ id }) => !voterIds.includes(id))
    .forEach(({ id }) => world.members.remove(id));
  voterIds
    .filter((id) => !world.members.has(id))
    .forEach((id) => world.members.put(createMemberRow(world, id)));
};

/** Returns the names of the voters for an event. */
export const joinMemberNames = (world: World): string =>
  [...world.members.rows()].map(({ id }) => id).join(',');

/** Voters, and the index of the entry that defines them; no names and 0 for the initial voters. */
type LoggedVoters = Pick<SnapshotHeader, 'votersIndex' | 'voters'>;

/** Returns the latest change of voters up to an index, in the log or in the snapshot before it. */
export const findVotersAt = (world: World, lastIndex: number): LoggedVoters => {
  for (let index = lastIndex; index > 0; index -= 1) {
    const command = world.logEntries.get(entryIdOf(index))?.command;
    if (command === undefined) break;
    if (command.kind === 'votersSet') return { votersIndex: index, voters: command.voters };
  }
  const header = snapshotOf(world)?.header;
  return { votersIndex: header?.votersIndex ?? 0, voters: header?.voters ?? [] };
};

/** Applies the latest change of voters in the log, or the initial voters if there is none. */
export const applyLoggedVoters = (world: World): void => {
  const { lastIndex } = replicaOf(world);
  const { votersIndex, voters } = findVotersAt(world, lastIndex);
  changeReplica(world, { votersIndex });
  putVoters(world, votersIndex === 0 ? world.initialVoters : voters);
};

/** Whether this daemon can vote: it has the role `control` and a data folder. */
export const canVote = (world: World): boolean =>
  world.self.roles.includes(Role.Control) && world.self.dataFolder !== undefined;

const recordVotingChange = (world: World, isVoting: boolean): void => {
  const { term, lastIndex, votersIndex } = replicaOf(world);
  world.events.append({
    kind: EventKind.VotingChanged,
    subject: { isVoting, term, lastIndex, votersIndex },
  });
};

/** Turns this learner into a voter, and writes what it has received to disk. */
export const becomeVoter = (world: World, now: Instant): void => {
  const { commitIndex } = replicaOf(world);
  changeReplica(world, {
    ...nonLeaderColumns,
    state: ReplicaState.Follower,
    lastIndex: commitIndex,
    lastTerm: termAt(world, commitIndex) ?? 0,
    followDeadline: never,
    electionDeadline: nextElectionDeadline(world, now),
  });
  requestStateReplacement(world, false);
  applyLoggedVoters(world);
  recordVotingChange(world, true);
};

/** Turns this daemon into a learner, and removes entries that are not committed. */
export const becomeLearner = (world: World, now: Instant): void => {
  const { commitIndex } = replicaOf(world);
  truncateLog(world, commitIndex);
  changeReplica(world, {
    ...nonLeaderColumns,
    state: ReplicaState.Learner,
    leader: null,
    lastIndex: commitIndex,
    lastTerm: termAt(world, commitIndex) ?? 0,
    electionDeadline: never,
    followDeadline: now,
    relay: null,
  });
  recordVotingChange(world, false);
};

/**
 * Whether this daemon holds the change that removed it, and has lost the leader. A late append of the
 * time before the change makes a learner a voter again, which then gets no further entries. A new
 * voter whose change it does not hold yet hears from the leader.
 */
const isRemovedByHeldChange = (world: World, reportedIndex: number): boolean => {
  const { state, votersIndex } = replicaOf(world);
  return state === ReplicaState.PreCandidate && votersIndex > 0 && reportedIndex === votersIndex;
};

/**
 * Handles the voters that another daemon reports. A voter that was removed becomes a learner, so
 * that it does not request votes.
 */
export const handleVoters = (
  world: World,
  reported: { readonly index: number; readonly names: readonly string[] },
  now: Instant,
): void => {
  recordNamedVoters(world, reported);
  const { state, votersIndex } = replicaOf(world);
  const isRemoved =
    !reported.names.includes(world.self.name) &&
    (reported.index > votersIndex || isRemovedByHeldChange(world, reported.index));
  const isVoter = state !== ReplicaState.Learner && state !== ReplicaState.Recovering;
  if (isRemoved && isVoter && state !== ReplicaState.Failed) becomeLearner(world, now);
};
