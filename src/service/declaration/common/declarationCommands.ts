/**
 * The replicated command that sets a declaration.
 */
import * as z from 'zod';
import type { Declaration } from './declaration.js';

/** Replaces the declaration as a whole; the highest version is in force. */
export const declarationSetSchema = z.object({
  kind: z.literal('declarationSet'),
  version: z.number(),
  /**
   * Digest of the document; distinguishes a resent declaration from different content under its
   * version.
   */
  digest: z.string(),
  /** The document as the operator sent it, returned unchanged when read back. */
  document: z.string(),
  /** Decoded and validated by the daemon that received it; daemons trust each other's commands. */
  declaration: z.custom<Declaration>((value) => typeof value === 'object' && value !== null),
});
export type DeclarationSet = z.infer<typeof declarationSetSchema>;
