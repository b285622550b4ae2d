/**
 * The replicated table of weight versions.
 */
import * as z from 'zod';
import { Topic } from '../../consensus/common/command.js';
import {
  createIdentifierSchema,
  type ReplicatedTables,
} from '../../consensus/common/replicatedTable.js';
import { versionNamedSchema } from './versionCommands.js';
import type { ModelVersionRow } from './versionTables.js';

export const replicatedVersionTables: ReplicatedTables<'modelVersions'> = {
  modelVersions: {
    topic: Topic.Voters,
    rowSchema: z.object({
      id: createIdentifierSchema<ModelVersionRow['id']>(),
      version: versionNamedSchema.shape.version,
    }),
  },
};
