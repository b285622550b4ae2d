/**
 * The replicated command with which a trainer names a new weight version of a model.
 */
import * as z from 'zod';

export const versionNamedSchema = z.object({
  kind: z.literal('versionNamed'),
  model: z.string().min(1),
  version: z.number().int(),
});
export type VersionNamed = z.infer<typeof versionNamedSchema>;
