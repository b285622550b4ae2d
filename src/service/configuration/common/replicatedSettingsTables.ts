/**
 * The replicated tables of the agreed settings. Published rows, such as services and keys, follow
 * from them by the system `publication`.
 */
import * as z from 'zod';
import { SettingsFaultKind } from '../../../infrastructure/settings/common/settingsFault.js';
import { Topic } from '../../consensus/common/command.js';
import {
  createIdentifierSchema,
  type ReplicatedTables,
} from '../../consensus/common/replicatedTable.js';
import { keyRotateSchema, treeChangeSchema, treeSetSchema } from './configurationCommands.js';
import { SettingsRejectionKind } from './settingsRejection.js';
import type {
  agreedSettingsTables,
  KeyRotationRow,
  RememberedAnswerRow,
  SettingsHistoryRow,
  SettingsRow,
} from './settingsTables.js';
import { treeSchema } from './tree.js';

const revision = z.number().int().positive();

const faultSchema = z.union([
  z.object({
    kind: z.literal(SettingsFaultKind.Syntax),
    path: z.string(),
    message: z.string(),
    line: z.number(),
    column: z.number(),
  }),
  z.object({
    kind: z.enum(SettingsFaultKind).exclude(['Syntax']),
    path: z.string(),
    message: z.string(),
  }),
]);

export const replicatedSettingsTables: ReplicatedTables<(typeof agreedSettingsTables)[number]> = {
  settings: {
    topic: Topic.Configuration,
    rowSchema: z.object({
      id: createIdentifierSchema<SettingsRow['id']>(),
      revision,
      tree: treeSchema,
      isAgreed: z.boolean(),
    }),
    // Until a tree is committed, each daemon has that of its own settings file.
    isLocalRow: ({ isAgreed }) => !isAgreed,
  },
  settingsHistory: {
    topic: Topic.Configuration,
    rowSchema: z.object({
      id: createIdentifierSchema<SettingsHistoryRow['id']>(),
      revision,
      operator: treeSetSchema.shape.operator,
      request: treeSetSchema.shape.request,
      path: z.string(),
      change: treeChangeSchema,
    }),
  },
  rememberedAnswers: {
    topic: Topic.Configuration,
    rowSchema: z.object({
      id: createIdentifierSchema<RememberedAnswerRow['id']>(),
      content: treeSetSchema.shape.content,
      revision: revision.nullable(),
      rejection: z
        .object({
          kind: z.enum(SettingsRejectionKind),
          message: z.string(),
          faults: z.array(faultSchema),
        })
        .nullable(),
    }),
  },
  keyRotations: {
    topic: Topic.Configuration,
    rowSchema: z.object({
      id: createIdentifierSchema<KeyRotationRow['id']>(),
      workspace: keyRotateSchema.shape.workspace,
      name: keyRotateSchema.shape.name,
      overlapMilliseconds: keyRotateSchema.shape.overlapMilliseconds,
      revision,
    }),
  },
};
