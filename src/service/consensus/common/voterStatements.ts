/**
 * What voters say of themselves in their answers to a candidate or a leader: whether they have joined,
 * what they hold, and how far they got. For reports and metrics; no decision reads it.
 */
import type { UnionMember } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { AbsenceKind, absenceOf } from '../../absence/common/absenceTables.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage, VoterStatement } from './consensusMessages.js';
import { joinProgressOf } from './joinProgress.js';
import type { VoterStatementRow } from './joinTables.js';
import { changeReplica, replicaOf } from './replicaLog.js';
import { ReplicaState } from './replicaTables.js';

/** Returns what this daemon says of itself. */
export const createVoterStatement = (world: World, now: Instant): VoterStatement => {
  const { hasJoined, lastIndex } = replicaOf(world);
  const { missingSince } = absenceOf(world, AbsenceKind.Joining);
  return {
    hasJoined,
    lastIndex,
    reportedIndex: hasJoined ? lastIndex : joinProgressOf(world).reportedIndex,
    notJoinedMilliseconds: Number.isFinite(missingSince)
      ? Math.round(Math.max(0, now - missingSince))
      : null,
  };
};

type AppendAnswer = UnionMember<ConsensusMessage, 'appendAnswered'>;
type VoteRequest = UnionMember<ConsensusMessage, 'voteRequested'>;
type VoteReply = UnionMember<ConsensusMessage, 'voteAnswered'>;

const putStatement = (world: World, statement: VoterStatementRow): void => {
  if (world.members.has(statement.id)) world.voterStatements.put(statement);
};

/** Recorders of the requests of candidates, and of the answers of voters. */
export const voterRecorders = {
  /** A store that has lost its log knows no voters, and hears of the others only by their requests. */
  voteRequested: ({ leaderAbsence }: VoteRequest, world: World): void => {
    if (replicaOf(world).state !== ReplicaState.Learner || !leaderAbsence) return;
    changeReplica(world, { leaderAbsence });
  },
  appendAnswered: (
    { term, isNew, accepted, matchIndex }: AppendAnswer,
    world: World,
    { id }: DaemonRow,
    now: Instant,
  ): void => {
    const replica = replicaOf(world);
    if (replica.state !== ReplicaState.Leader || term !== replica.term) return;
    const known = world.voterStatements.get(id);
    putStatement(world, {
      id,
      hasJoined: !isNew,
      // A refusal names what can match, which may be less than what the voter holds.
      lastIndex: accepted ? matchIndex : (known?.lastIndex ?? matchIndex),
      reportedIndex: replica.commitIndex,
      notJoinedSince: isNew ? (known?.notJoinedSince ?? now) : null,
      saidAt: now,
    });
  },
  voteAnswered: ({ statement }: VoteReply, world: World, { id }: DaemonRow, now: Instant): void => {
    if (statement === undefined) return;
    const { hasJoined, lastIndex, reportedIndex, notJoinedMilliseconds } = statement;
    const notJoinedSince =
      hasJoined || notJoinedMilliseconds === null
        ? null
        : deadlineAfter(now, -notJoinedMilliseconds);
    putStatement(world, { id, hasJoined, lastIndex, reportedIndex, notJoinedSince, saidAt: now });
  },
};

/** Returns what is known of a voter, of this daemon by its own state; undefined if nothing is. */
export const findStatement = (
  world: World,
  id: DaemonId,
  now: Instant,
): VoterStatementRow | undefined => {
  if (id !== world.self.name) return world.voterStatements.get(id);
  const { notJoinedMilliseconds, ...statement } = createVoterStatement(world, now);
  const notJoinedSince =
    notJoinedMilliseconds === null ? null : deadlineAfter(now, -notJoinedMilliseconds);
  return { id, ...statement, notJoinedSince, saidAt: now };
};

/** Returns the number of voters that are known not to have joined. */
export const countNotJoined = (world: World, now: Instant): number =>
  [...world.members.rows()].filter(({ id }) => findStatement(world, id, now)?.hasJoined === false)
    .length;
