/**
 * What daemons tell each other of themselves and of upstreams.
 */
import { z } from 'zod';
import { announcementSchema } from '../../protocol/common/upstreamProtocol.js';

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
});

export const upstreamAnnouncedSchema = z.object({
  kind: z.literal('upstreamAnnounced'),
  announcement: announcementSchema,
});

/** The messages of membership. */
export type MembershipMessage =
  z.infer<typeof heartbeatSchema> | z.infer<typeof upstreamAnnouncedSchema>;
