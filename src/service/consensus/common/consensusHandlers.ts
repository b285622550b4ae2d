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
import { proposalHandlers } from './proposals.js';
import { replicationHandlers } from './replication.js';
import { snapshotHandlers } from './snapshotTransfer.js';

export const consensusHandlers: HandlerTable<ConsensusMessage, void, [World, DaemonRow, Instant]> =
  {
    ...electionHandlers,
    ...replicationHandlers,
    ...proposalHandlers,
    ...followHandlers,
    ...snapshotHandlers,
  };
