/**
 * The replicated table of the declaration in force. Routes and caller keys follow from it.
 */
import { Topic } from '../../consensus/common/command.js';
import {
  createIdentifierSchema,
  type ReplicatedTables,
} from '../../consensus/common/replicatedTable.js';
import { activateDeclaration } from './applyDeclaration.js';
import { declarationSetSchema } from './declarationCommands.js';
import type { DeclarationRow } from './declarationTables.js';

export const replicatedDeclarationTables: ReplicatedTables<'declarations'> = {
  declarations: {
    topic: Topic.Configuration,
    rowSchema: declarationSetSchema
      .omit({ kind: true })
      .extend({ id: createIdentifierSchema<DeclarationRow['id']>() }),
    onDidRestore: activateDeclaration,
  },
};
