/**
 * The replicated commands about orders to upstreams. An order is committed to the log as an intent
 * before it is sent, and closed in the log once its result is known.
 */
import * as z from 'zod';
import { orderSchema } from '../../protocol/common/engineProtocol.js';

const orderIdentifier = z.string().min(1);

/** Records the intent to send an order to an upstream. */
export const orderIntendedSchema = z.object({
  kind: z.literal('orderIntended'),
  order: orderIdentifier,
  /** Name of the upstream. */
  upstream: z.string().min(1),
  action: orderSchema.shape.action,
  target: orderSchema.shape.target,
});

/** Records the result of an order. */
export const orderClosedSchema = z.object({
  kind: z.literal('orderClosed'),
  order: orderIdentifier,
  /** Executed, or refused because the upstream had already seen a higher fencing token. */
  result: z.enum(['done', 'refused']),
});

export type OrderIntended = z.infer<typeof orderIntendedSchema>;
export type OrderClosed = z.infer<typeof orderClosedSchema>;
/** All commands about orders. */
export type OrderCommand = OrderIntended | OrderClosed;
