/**
 * Messages between daemons: the union of the messages of all components. Deadlines are sent as
 * remaining milliseconds. The schemas validate received messages; the peer port encodes and decodes
 * them.
 */
import * as z from 'zod';
import { workspaceDemandSchema } from '../../admission/common/demandMessages.js';
import {
  heartbeatSchema,
  upstreamAnnouncedSchema,
} from '../../membership/common/membershipMessages.js';
import {
  appendAnsweredSchema,
  entriesAppendedSchema,
  entriesFollowedSchema,
  followRequestedSchema,
  proposalAnsweredSchema,
  proposalForwardedSchema,
  snapshotOfferedSchema,
  snapshotRequestedSchema,
  snapshotSentSchema,
  voteAnsweredSchema,
  voteRequestedSchema,
} from '../../consensus/common/consensusMessages.js';
import { originMessageSchemas } from '../../forwarding/common/originMessages.js';
import { contentMessageSchemas } from '../../jobs/common/contentMessages.js';
import { coldMessageSchemas } from '../../places/common/coldMessages.js';
import { jobReadSchemas } from '../../jobs/common/jobReadMessages.js';
import { engineLoadsReportedSchema } from '../../jobs/common/runnerTables.js';
import {
  crashesReceivedSchema,
  crashesReportedSchema,
} from '../../quarantine/common/crashMessages.js';
import {
  upstreamDepartedSchema,
  upstreamLeavingSchema,
  upstreamRegisteredSchema,
} from '../../registry/common/registryTables.js';
import {
  bodiesStoredSchema,
  bodyAskedSchema,
  bodyGivenSchema,
  bodyOfferedSchema,
} from '../../rollout/common/bodyMessages.js';
import type { DaemonId } from '../../world/common/identifiers.js';

/** Schema of all messages between daemons. */
export const messageSchema = z.discriminatedUnion('kind', [
  heartbeatSchema,
  upstreamAnnouncedSchema,
  voteRequestedSchema,
  voteAnsweredSchema,
  entriesAppendedSchema,
  appendAnsweredSchema,
  proposalForwardedSchema,
  proposalAnsweredSchema,
  followRequestedSchema,
  entriesFollowedSchema,
  snapshotOfferedSchema,
  snapshotRequestedSchema,
  snapshotSentSchema,
  workspaceDemandSchema,
  crashesReportedSchema,
  crashesReceivedSchema,
  bodyOfferedSchema,
  bodiesStoredSchema,
  bodyAskedSchema,
  bodyGivenSchema,
  upstreamRegisteredSchema,
  upstreamDepartedSchema,
  upstreamLeavingSchema,
  ...jobReadSchemas,
  ...contentMessageSchemas,
  engineLoadsReportedSchema,
  ...originMessageSchemas,
  ...coldMessageSchemas,
]);
export type Message = z.infer<typeof messageSchema>;

/** A received message, with the sender that the connection identifies. */
export interface IncomingMessage {
  readonly from: DaemonId;
  readonly message: Message;
}

/** A message to be sent; it is dropped and counted if there is no connection to the receiver. */
export interface OutgoingMessage {
  readonly to: DaemonId;
  readonly message: Message;
}
