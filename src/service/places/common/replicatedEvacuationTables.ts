/**
 * The replicated table of evacuated availability zones. Every daemon needs it, as each of them
 * decides by it before it sends a request.
 */
import * as z from 'zod';
import { Topic } from '../../consensus/common/command.js';
import {
  createIdentifierSchema,
  type ReplicatedTables,
} from '../../consensus/common/replicatedTable.js';
import type { ZoneId } from './evacuationTables.js';

export const replicatedEvacuationTables: ReplicatedTables<'evacuations'> = {
  evacuations: {
    topic: Topic.Configuration,
    rowSchema: z.object({
      id: createIdentifierSchema<ZoneId>(),
      isInForce: z.boolean(),
      at: z.number(),
      index: z.number().int().positive(),
    }),
  },
};
