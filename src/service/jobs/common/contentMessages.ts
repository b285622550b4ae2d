/**
 * Messages by which daemons store and read the contents of jobs with home regions: bodies of items
 * and scoring requests, and complete texts. A content is identified by its digest.
 */
import * as z from 'zod';

const batch = z.number().int().nonnegative();

export const contentSchema = z.object({ digest: z.string(), bytes: z.instanceof(Uint8Array) });

/** A content of a job. */
export type Content = z.infer<typeof contentSchema>;

/** Requests that the receiver store a batch of contents on its disk. */
export const jobContentsOfferedSchema = z.object({
  kind: z.literal('jobContentsOffered'),
  storing: z.string(),
  batch,
  job: z.string(),
  contents: z.array(contentSchema).readonly(),
});

/** Reports that the sender has synced a batch to its disk, or could not write it. */
export const jobContentsStoredSchema = z.object({
  kind: z.literal('jobContentsStored'),
  storing: z.string(),
  batch,
  isStored: z.boolean(),
});

/** Requests contents that the receiver holds. */
export const jobContentsAskedSchema = z.object({
  kind: z.literal('jobContentsAsked'),
  job: z.string(),
  digests: z.array(z.string()).readonly(),
});

/**
 * Returns as many of the requested contents as fit one message; those that are neither in `contents`
 * nor in `missing` can be requested again.
 */
export const jobContentsGivenSchema = z.object({
  kind: z.literal('jobContentsGiven'),
  job: z.string(),
  contents: z.array(contentSchema).readonly(),
  /** Digests of the requested contents that the sender does not hold. */
  missing: z.array(z.string()).readonly(),
});

export const contentMessageSchemas = [
  jobContentsOfferedSchema,
  jobContentsStoredSchema,
  jobContentsAskedSchema,
  jobContentsGivenSchema,
] as const;
export type ContentMessage = z.infer<(typeof contentMessageSchemas)[number]>;
