/**
 * Schemas of the log commands that change the agreed settings. Keys are included only as digests.
 * The content digest distinguishes a resent request from a different request with the same
 * identifier.
 */
import * as z from 'zod';
import { keySchema } from './tree.js';

const editFields = {
  /**
   * Request identifier chosen by the client; a resend with the same identifier gets the same
   * answer.
   */
  request: z.string().min(1),
  /** Name of the operator whose key authenticated the edit. */
  operator: z.string().min(1),
  /** SHA-256 of the requested edit, in hexadecimal. */
  content: z.string().min(1),
};

/** A change of the value at a path. */
export const treeChangeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), value: z.json() }),
  z.object({ kind: z.literal('remove') }),
]);
export type TreeChange = z.infer<typeof treeChangeSchema>;

/** The initial settings of an installation, proposed by the first leader from its settings file. */
export const treeSeededSchema = z.object({
  kind: z.literal('treeSeeded'),
  tree: z.json(),
});

export const treeSetSchema = z.object({
  kind: z.literal('treeSet'),
  ...editFields,
  /** Keys separated by dots; the empty path denotes the whole tree. */
  path: z.string(),
  change: treeChangeSchema,
  /** The revision on which the edit is based. */
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
  /** Time for which both keys are valid; the leader then withdraws the old key. */
  overlapMilliseconds: z.number().int().nonnegative(),
});

/** Commands that create a new revision if accepted. */
export type EditCommand =
  | z.infer<typeof treeSetSchema>
  | z.infer<typeof keyIssueSchema>
  | z.infer<typeof keyWithdrawSchema>
  | z.infer<typeof keyRotateSchema>;

/** All configuration commands. */
export type ConfigurationCommand = z.infer<typeof treeSeededSchema> | EditCommand;
