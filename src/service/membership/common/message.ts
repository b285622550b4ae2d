/**
 * Messages between daemons. Deadlines travel as remaining milliseconds. The schemas check what comes
 * over the wire; how a message is encoded is the business of the port.
 */
import { z } from 'zod';
import { announcementSchema } from '../../protocol/common/upstreamProtocol.js';
import type { DaemonId } from '../../world/common/identifiers.js';

export const MessageKind = {
  Heartbeat: 'heartbeat',
  UpstreamAnnounced: 'upstreamAnnounced',
} as const;

export const heartbeatSchema = z.object({
  kind: z.literal(MessageKind.Heartbeat),
  incarnation: z.number().int().nonnegative(),
  /** Requests that the sender runs or holds. */
  load: z.number().int().nonnegative(),
  leaving: z.boolean(),
});

export const upstreamAnnouncedSchema = z.object({
  kind: z.literal(MessageKind.UpstreamAnnounced),
  announcement: announcementSchema,
});

export const messageSchema = z.discriminatedUnion('kind', [
  heartbeatSchema,
  upstreamAnnouncedSchema,
]);

/** Any message between daemons. */
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
