/**
 * Schemas of the messages in which daemons describe themselves and relay announcements of
 * upstreams. Rows of lists that cannot be read are left out; see the module `readableRows`.
 */
import * as z from 'zod';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import { createReadableRowsSchema } from '../../../infrastructure/wire/common/readableRows.js';
import { departureSchema, registrationSchema } from '../../registry/common/registryTables.js';
import { announcementSchema } from '../../protocol/common/upstreamProtocol.js';

/** Schema of the description that a daemon sends of itself: its location, roles and addresses. */
export const memberSchema = z.object({
  name: z.string().min(1),
  /** Name of its VM, as used by operators. */
  label: z.string().min(1).optional(),
  zone: z.string(),
  region: z.string(),
  roles: z.array(z.enum(Role)),
  callerAddress: z.string(),
  peerAddress: z.string(),
});
export type Member = z.infer<typeof memberSchema>;

/** Schema of an entry daemon that is advised to callers. */
export const advisedEntrySchema = z.object({
  name: z.string().min(1),
  zone: z.string(),
  region: z.string(),
  callerAddress: z.string(),
});
export type AdvisedEntry = z.infer<typeof advisedEntrySchema>;

/**
 * Schema of the lists that a control daemon sends to the daemons that ask it for them. They are
 * sent whole, and only if their version differs from the one that the receiver holds.
 */
export const membershipListsSchema = z.object({
  /** Increases with each change of the lists during one incarnation of the sender. */
  version: z.number().int().positive(),
  /** Control daemons that are alive, including the sender. */
  controlDaemons: createReadableRowsSchema(memberSchema),
  /** Entry daemons near the receiver, which it advises to callers; sent to entry daemons. */
  entries: createReadableRowsSchema(advisedEntrySchema).optional(),
  /** Registered upstreams, without their models; sent to entry daemons. */
  registrations: createReadableRowsSchema(registrationSchema).optional(),
});
export type MembershipLists = z.infer<typeof membershipListsSchema>;

export const heartbeatSchema = z.object({
  kind: z.literal('heartbeat'),
  incarnation: z.number().int().nonnegative(),
  /** Number of requests that run or wait on the sender. */
  load: z.number().int().nonnegative(),
  leaving: z.boolean(),
  /** Revision of the settings that the sender uses. */
  revision: z.number().int().nonnegative(),
  /** Whether the sender knows that its settings are up to date. */
  isFresh: z.boolean(),
  /** Time until the next heartbeat of the sender to the receiver, if it is not the usual one. */
  intervalMilliseconds: z.number().positive().optional(),
  /** Description of the sender; present if daemons announce themselves. */
  member: memberSchema.optional(),
  /** Voters of the log as known to the sender, and the log index of their last change. */
  voters: z.object({ index: z.number(), names: z.array(z.string()) }).optional(),
  /** Last term in which the sender, a voter, led and has stopped leading; 0 for none. */
  endedTerm: z.number().optional(),
  /** Recent departures of upstreams; sent by control daemons. */
  departures: createReadableRowsSchema(departureSchema).optional(),
  /** Version of the sender's lists; sent by control daemons. */
  listsVersion: z.number().int().positive().optional(),
  /** The lists of the sender, if the receiver asks for them and holds another version. */
  lists: membershipListsSchema.optional(),
  /**
   * Version of the receiver's lists that the sender holds, or 0; present if the sender asks the
   * receiver for its lists.
   */
  heldLists: z.number().int().nonnegative().optional(),
  /** Recent reports that upstreams sent to the sender; sent to control daemons. */
  reports: createReadableRowsSchema(registrationSchema).optional(),
});

export const upstreamAnnouncedSchema = z.object({
  kind: z.literal('upstreamAnnounced'),
  announcement: announcementSchema,
});

/** A message of membership. */
export type MembershipMessage =
  z.infer<typeof heartbeatSchema> | z.infer<typeof upstreamAnnouncedSchema>;
