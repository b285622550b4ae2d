/**
 * The replicated table of usage windows.
 */
import * as z from 'zod';
import { Topic } from '../../consensus/common/command.js';
import {
  createIdentifierSchema,
  type ReplicatedTables,
} from '../../consensus/common/replicatedTable.js';
import { usageCountedSchema } from './meteringCommands.js';
import { WindowState, type UsageWindowId } from './meteringTables.js';

export const replicatedMeteringTables: ReplicatedTables<'usageWindows'> = {
  usageWindows: {
    topic: Topic.Voters,
    rowSchema: z.object({
      id: createIdentifierSchema<UsageWindowId>(),
      window: usageCountedSchema.shape.window,
      state: z.enum(WindowState),
      counts: usageCountedSchema.shape.counts,
    }),
  },
};
