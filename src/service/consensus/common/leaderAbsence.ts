/**
 * What a voter knows of the reason why there is no leader, as one text. It travels with the entries to
 * all learners, so that the log of any daemon tells it. It serves reports and decides nothing.
 */
import { asBrand } from '../../../base/common/brand.js';
import {
  deadlineAfter,
  millisecondsPerSecond,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { DaemonState } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { freshnessMilliseconds } from './consensusTiming.js';
import type { VoterStatementRow } from './joinTables.js';
import { replicaOf } from './replicaLog.js';
import { ReplicaState, type MemberRow } from './replicaTables.js';
import { findStatement } from './voterStatements.js';
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

/** Time after which what a voter has said of itself may have changed. */
const recentMilliseconds: Milliseconds = 4_000;

const toSeconds = (duration: Milliseconds): number => Math.round(duration / millisecondsPerSecond);

/**
 * Returns the highest index of an entry that any of them has said to hold or to have heard of. One
 * that has not joined may hold entries that nobody accepted, so it counts by what it has heard.
 */
const findKnownIndex = (statements: readonly VoterStatementRow[]): number | null => {
  const indices = statements
    .map(({ hasJoined, lastIndex, reportedIndex }) => (hasJoined ? lastIndex : reportedIndex))
    .filter((index) => index !== null);
  return indices.length === 0 ? null : Math.max(...indices);
};

/**
 * Describes a voter that has not joined as `NAME:HELD/KNOWN,SECONDSs`, with `,AGEs ago` if it has said
 * so a while ago; `?` stands for what nobody has said.
 */
const describeNotJoinedVoter = (
  { id, lastIndex, notJoinedSince, saidAt }: VoterStatementRow,
  knownIndex: number | null,
  now: Instant,
): string => {
  const seconds = notJoinedSince === null ? '?' : `${toSeconds(saidAt - notJoinedSince)}s`;
  const age = now - saidAt;
  const ageText = age > recentMilliseconds ? `,${toSeconds(age)}s ago` : '';
  return `${id}:${lastIndex}/${knownIndex ?? '?'},${seconds}${ageText}`;
};

/** Returns what is known of each voter; a daemon that knows no voters may be one itself. */
const knownStatements = (world: World, now: Instant): VoterStatementRow[] => {
  const self = asBrand<DaemonId>(world.self.name);
  const ids = [...world.members.rows()].map(({ id }) => id);
  return (ids.length === 0 ? [self] : ids).flatMap((id) => findStatement(world, id, now) ?? []);
};

/** Whether a voter is known not to have joined; this daemon only knows once its disk has been read. */
const isNotJoined = (world: World, { id, hasJoined, notJoinedSince }: VoterStatementRow): boolean =>
  !hasJoined && (id !== world.self.name || notJoinedSince !== null);

/**
 * Describes the voters that are known not to have joined, as `COUNT/VOTERS` and one by one; empty if
 * there are none.
 */
export const describeNotJoinedVoters = (world: World, now: Instant): string => {
  const known = knownStatements(world, now);
  const texts = known
    .filter((statement) => isNotJoined(world, statement))
    .map((statement) => describeNotJoinedVoter(statement, findKnownIndex(known), now));
  const voterCount = world.members.size() === 0 ? '?' : world.members.size();
  return texts.length === 0 ? '' : `${texts.length}/${voterCount} ${texts.join(' ')}`;
};

/** Describes the last index of each voter that has said it, as `NAME:INDEX`. */
export const describeLastIndices = (world: World, now: Instant): string =>
  [...world.members.rows()]
    .flatMap(({ id }) => findStatement(world, id, now) ?? [])
    .map(({ id, lastIndex }) => `${id}:${lastIndex}`)
    .join(',');

/** Puts what decides in front, as some collectors cut lines. */
const prependNotJoined = (world: World, text: string, now: Instant): string => {
  const notJoined = describeNotJoinedVoters(world, now);
  return notJoined === '' ? text : `notJoined=${notJoined} ${text}`;
};

/** Returns what a learner has heard; one that has lost its disk at least says so of itself. */
const describeAbsenceAtLearner = (world: World, now: Instant): string | null => {
  const { leaderAbsence, state } = replicaOf(world);
  if (leaderAbsence !== null) return leaderAbsence;
  const own = prependNotJoined(world, state, now);
  return own === state ? null : own;
};

/** A learner keeps the name of the last leader, so it counts only as long as entries arrive. */
export const isLeaderKnown = (world: World, now: Instant): boolean => {
  const { state, leader, currentAsOf } = replicaOf(world);
  if (leader === null) return false;
  return state !== ReplicaState.Learner || now < deadlineAfter(currentAsOf, freshnessMilliseconds);
};

/** Returns why there is no leader, as far as this daemon knows; null if there is one. */
export const describeLeaderAbsence = (world: World, now: Instant): string | null => {
  const { state, requestedSequence, syncedSequence } = replicaOf(world);
  if (isLeaderKnown(world, now)) return null;
  if (state === ReplicaState.Learner) return describeAbsenceAtLearner(world, now);
  const unsyncedWrites = requestedSequence - syncedSequence;
  const storageText = unsyncedWrites > 0 ? ` unsyncedWrites=${unsyncedWrites}` : '';
  const indicesText = ` lastIndex=${describeLastIndices(world, now)}`;
  const text = `${state} ${describeVoters(world, now)}${indicesText}${storageText}`;
  return prependNotJoined(world, text, now);
};
