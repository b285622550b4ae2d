/**
 * HTTP protocol of operators: JSON bodies under `/operator/v1`, authenticated by the operator's key
 * as `Authorization: Bearer KEY`. Edits contain a request identifier, so that a resend is not
 * applied twice.
 */
import * as z from 'zod';
import { treeChangeSchema } from '../../configuration/common/configurationCommands.js';

export const OperatorPath = {
  Tree: '/operator/v1/tree',
  Explain: '/operator/v1/explain',
  History: '/operator/v1/history',
  Keys: '/operator/v1/keys',
  KeyWithdrawals: '/operator/v1/keys/withdrawals',
  KeyRotations: '/operator/v1/keys/rotations',
  Members: '/operator/v1/members',
  Status: '/operator/v1/status',
} as const;

const requestIdSchema = z.string().min(1).max(128);

export const treeEditSchema = z.strictObject({
  request: requestIdSchema,
  path: z.string(),
  change: treeChangeSchema,
  expectedRevision: z.number().int().positive(),
});
export type TreeEdit = z.infer<typeof treeEditSchema>;

export const keyReferenceSchema = z.strictObject({
  request: requestIdSchema,
  workspace: z.string().min(1),
  name: z.string().min(1),
});
export type KeyReference = z.infer<typeof keyReferenceSchema>;

export const keyRotationSchema = keyReferenceSchema.extend({
  successor: z.string().min(1),
  overlapMilliseconds: z.number().int().nonnegative(),
});

/** Response to an accepted edit. */
export const acceptedSchema = z.object({ revision: z.number().int() });

/** Response to the issue of a key; this is the only place where the key itself is returned. */
export const issuedKeySchema = acceptedSchema.extend({ key: z.string(), digest: z.string() });

/** Response to a refused operator request. */
export const operatorErrorSchema = z.object({
  error: z.object({ code: z.string(), message: z.string() }),
});
