/**
 * The replicated table of orders.
 */
import * as z from 'zod';
import { Topic } from '../../consensus/common/command.js';
import {
  createIdentifierSchema,
  type ReplicatedTables,
} from '../../consensus/common/replicatedTable.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import { orderClosedSchema, orderIntendedSchema } from './orderCommands.js';
import type { OrderId } from './orderTables.js';

export const replicatedOrderTables: ReplicatedTables<'intents'> = {
  intents: {
    topic: Topic.Control,
    rowSchema: z.object({
      id: createIdentifierSchema<OrderId>(),
      index: z.number().int().positive(),
      upstream: createIdentifierSchema<UpstreamId>(),
      action: orderIntendedSchema.shape.action,
      target: orderIntendedSchema.shape.target,
      result: orderClosedSchema.shape.result.nullable(),
    }),
  },
};
