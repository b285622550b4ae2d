/**
 * The command that sets a declaration.
 */
import { z } from 'zod';
import type { Declaration } from './declaration.js';

/** Sets the whole declaration; the highest version is in force. */
export const declarationSetSchema = z.object({
  kind: z.literal('declarationSet'),
  version: z.number(),
  /** Digest of the document, which tells a resent declaration from another one under its version. */
  digest: z.string(),
  /** The document as the operator sent it, for reading back. */
  document: z.string(),
  /** Decoded and checked by the daemon that took it; daemons trust each other's commands. */
  declaration: z.custom<Declaration>((value) => typeof value === 'object' && value !== null),
});
export type DeclarationSet = z.infer<typeof declarationSetSchema>;
