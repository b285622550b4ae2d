/**
 * The messages that daemons exchange to replicate and read bodies: the texts of samples and the
 * prompts of lots.
 */
import * as z from 'zod';

/** Requests that the receiver write a body to its disk. */
export const bodyOfferedSchema = z.object({
  kind: z.literal('bodyOffered'),
  body: z.string(),
  lot: z.string(),
  content: z.string(),
});

/** Reports which bodies the sender has synced to disk and which it failed to write. */
export const bodiesStoredSchema = z.object({
  kind: z.literal('bodiesStored'),
  stored: z.array(z.string()),
  failed: z.array(z.string()),
});

/** Requests a body that the receiver stores. */
export const bodyAskedSchema = z.object({
  kind: z.literal('bodyAsked'),
  body: z.string(),
  lot: z.string(),
});

/** Returns a requested body; `content` is null if the sender does not have it. */
export const bodyGivenSchema = z.object({
  kind: z.literal('bodyGiven'),
  body: z.string(),
  content: z.string().nullable(),
});

/** The messages about bodies. */
export type BodyMessage =
  | z.infer<typeof bodyOfferedSchema>
  | z.infer<typeof bodiesStoredSchema>
  | z.infer<typeof bodyAskedSchema>
  | z.infer<typeof bodyGivenSchema>;
