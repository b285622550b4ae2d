/**
 * Commands about orders to upstreams: an order is an intent in the log before it is sent, and is closed
 * in the log once its outcome is known.
 */
import { z } from 'zod';
import { orderSchema } from '../../protocol/common/engineProtocol.js';

const orderIdentifier = z.string().min(1);

export const orderIntendedSchema = z.object({
  kind: z.literal('orderIntended'),
  order: orderIdentifier,
  /** Name of the upstream. */
  upstream: z.string().min(1),
  action: orderSchema.shape.action,
  target: orderSchema.shape.target,
});

export const orderClosedSchema = z.object({
  kind: z.literal('orderClosed'),
  order: orderIdentifier,
  /** Carried out, or refused because the upstream had seen a higher fencing number. */
  result: z.enum(['done', 'refused']),
});

export type OrderIntended = z.infer<typeof orderIntendedSchema>;
export type OrderClosed = z.infer<typeof orderClosedSchema>;
/** The commands of this subject. */
export type OrderCommand = OrderIntended | OrderClosed;
