/**
 * What daemons tell each other of themselves and of upstreams.
 */
import { z } from 'zod';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import { departureSchema } from '../../registry/common/registryTables.js';
import { announcementSchema } from '../../protocol/common/upstreamProtocol.js';

/** Where a daemon is and what it does; told by the daemon itself. */
export const memberSchema = z.object({
  name: z.string().min(1),
  /** Name of its VM by which operators know it. */
  label: z.string().min(1).optional(),
  zone: z.string(),
  region: z.string(),
  roles: z.array(z.enum(Role)),
  callerAddress: z.string(),
  peerAddress: z.string(),
});
export type Member = z.infer<typeof memberSchema>;

/** An entry that callers may use. */
export const advisedEntrySchema = z.object({
  name: z.string().min(1),
  zone: z.string(),
  region: z.string(),
  callerAddress: z.string(),
});
export type AdvisedEntry = z.infer<typeof advisedEntrySchema>;

export const heartbeatSchema = z.object({
  kind: z.literal('heartbeat'),
  incarnation: z.number().int().nonnegative(),
  /** Requests that the sender runs or holds. */
  load: z.number().int().nonnegative(),
  leaving: z.boolean(),
  /** Revision of the settings that the sender serves with. */
  revision: z.number().int().nonnegative(),
  /** Whether the sender knows that its settings are those in force. */
  isFresh: z.boolean(),
  /** The sender, where daemons announce themselves. */
  member: memberSchema.optional(),
  /** The voters of the log as a voter knows them, and the index of the change that made them so. */
  voters: z.object({ index: z.number(), names: z.array(z.string()) }).optional(),
  /** The last term in which the sender, a voter, has led and does not lead any more; 0 for none. */
  endedTerm: z.number().optional(),
  /** Upstreams that have left lately, as a control daemon was told. */
  departures: z.array(departureSchema).optional(),
  /** Entries near the receiver that callers may use, from a control daemon to an entry. */
  entries: z.array(advisedEntrySchema).optional(),
  /** Control daemons that the sender knows, for receivers that do not. */
  controlDaemons: z.array(memberSchema).optional(),
});

export const upstreamAnnouncedSchema = z.object({
  kind: z.literal('upstreamAnnounced'),
  announcement: announcementSchema,
});

/** The messages of membership. */
export type MembershipMessage =
  z.infer<typeof heartbeatSchema> | z.infer<typeof upstreamAnnouncedSchema>;
