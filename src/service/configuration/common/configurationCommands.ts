/**
 * The commands by which operators change the agreed settings. Keys occur in them only as digests. The
 * content digest lets a resent request be told from another request under the same identifier.
 */
import { z } from 'zod';
import { keySchema } from './tree.js';

const editFields = {
  /** Chosen by the operator's command; a resend repeats it and gets the first answer again. */
  request: z.string().min(1),
  /** Name of the operator whose key came with the edit. */
  operator: z.string().min(1),
  /** SHA-256 of what was asked for, in hexadecimal. */
  content: z.string().min(1),
};

/** What becomes of the value at a path. */
export const treeChangeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), value: z.json() }),
  z.object({ kind: z.literal('remove') }),
]);
export type TreeChange = z.infer<typeof treeChangeSchema>;

/** The first settings of an installation, proposed by its first leader from its settings file. */
export const treeSeededSchema = z.object({
  kind: z.literal('treeSeeded'),
  tree: z.json(),
});

export const treeSetSchema = z.object({
  kind: z.literal('treeSet'),
  ...editFields,
  /** Keys joined by dots; the empty path is the whole tree. */
  path: z.string(),
  change: treeChangeSchema,
  /** The revision that the edit was made from. */
  expectedRevision: z.number().int().positive(),
});

const keyReference = { workspace: z.string().min(1), name: z.string().min(1) };

export const keyIssueSchema = z.object({
  kind: z.literal('keyIssue'),
  ...editFields,
  ...keyReference,
  digest: keySchema.shape.digest,
});

export const keyWithdrawSchema = z.object({
  kind: z.literal('keyWithdraw'),
  ...editFields,
  ...keyReference,
});

export const keyRotateSchema = z.object({
  kind: z.literal('keyRotate'),
  ...editFields,
  ...keyReference,
  /** Name of the new key. */
  successor: z.string().min(1),
  digest: keySchema.shape.digest,
  /** How long both keys work; the leader withdraws the old one afterwards. */
  overlapMilliseconds: z.number().int().nonnegative(),
});

/** The commands that make a new revision. */
export type EditCommand =
  | z.infer<typeof treeSetSchema>
  | z.infer<typeof keyIssueSchema>
  | z.infer<typeof keyWithdrawSchema>
  | z.infer<typeof keyRotateSchema>;

/** All commands of the configuration. */
export type ConfigurationCommand = z.infer<typeof treeSeededSchema> | EditCommand;
