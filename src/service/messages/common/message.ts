/**
 * Messages between daemons: the union of what each subject sends. Deadlines travel as remaining
 * milliseconds. The schemas check what comes over the wire; encoding is the business of the port.
 */
import { z } from 'zod';
import { workspaceDemandSchema } from '../../admission/common/demandMessages.js';
import { upstreamCrashedSchema } from '../../dispatch/common/quarantine.js';
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
  voteAnsweredSchema,
  voteRequestedSchema,
} from '../../consensus/common/consensusMessages.js';
import { jobReadSchemas } from '../../jobs/common/jobReadMessages.js';
import {
  upstreamDepartedSchema,
  upstreamRegisteredSchema,
} from '../../registry/common/registryTables.js';
import {
  bodiesStoredSchema,
  bodyAskedSchema,
  bodyGivenSchema,
  bodyOfferedSchema,
} from '../../rollout/common/bodyMessages.js';
import type { DaemonId } from '../../world/common/identifiers.js';

/** Every message that one daemon sends to another. */
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
  workspaceDemandSchema,
  upstreamCrashedSchema,
  bodyOfferedSchema,
  bodiesStoredSchema,
  bodyAskedSchema,
  bodyGivenSchema,
  upstreamRegisteredSchema,
  upstreamDepartedSchema,
  ...jobReadSchemas,
]);
export type Message = z.infer<typeof messageSchema>;

/** A message that has come, with its sender as the connection names it. */
export interface IncomingMessage {
  readonly from: DaemonId;
  readonly message: Message;
}

/** A message to be sent; it is dropped and counted where there is no connection. */
export interface OutgoingMessage {
  readonly to: DaemonId;
  readonly message: Message;
}
