/**
 * Handlers for all messages of the replicated log, combined from elections, replication, proposals
 * and learners.
 */
import type { HandlerTable } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage } from './consensusMessages.js';
import { electionHandlers } from './election.js';
import { followHandlers } from './following.js';
import { joinRecorders } from './joinProgress.js';
import { proposalHandlers } from './proposals.js';
import { replicationHandlers } from './replication.js';
import { snapshotHandlers } from './snapshotTransfer.js';
import { voterRecorders } from './voterStatements.js';

type Handler<Received> = (message: Received, world: World, sender: DaemonRow, now: Instant) => void;

/** Records for reports what a message says, before it is handled. */
const recordThenHandle =
  <Received>(record: Handler<Received>, handle: Handler<Received>): Handler<Received> =>
  (message, world, sender, now) => {
    record(message, world, sender, now);
    handle(message, world, sender, now);
  };

export const consensusHandlers: HandlerTable<ConsensusMessage, void, [World, DaemonRow, Instant]> =
  {
    ...electionHandlers,
    ...replicationHandlers,
    ...proposalHandlers,
    ...followHandlers,
    ...snapshotHandlers,
    entriesAppended: recordThenHandle(
      joinRecorders.entriesAppended,
      replicationHandlers.entriesAppended,
    ),
    entriesFollowed: recordThenHandle(
      joinRecorders.entriesFollowed,
      followHandlers.entriesFollowed,
    ),
    snapshotOffered: recordThenHandle(
      joinRecorders.snapshotOffered,
      snapshotHandlers.snapshotOffered,
    ),
    snapshotSent: recordThenHandle(joinRecorders.snapshotSent, snapshotHandlers.snapshotSent),
    voteRequested: recordThenHandle(voterRecorders.voteRequested, electionHandlers.voteRequested),
    voteAnswered: recordThenHandle(voterRecorders.voteAnswered, electionHandlers.voteAnswered),
    appendAnswered: recordThenHandle(
      voterRecorders.appendAnswered,
      replicationHandlers.appendAnswered,
    ),
  };
