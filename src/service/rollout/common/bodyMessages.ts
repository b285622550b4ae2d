/**
 * What daemons say to each other about bodies.
 */
import { z } from 'zod';

/** Asks the receiver to write a body. */
export const bodyOfferedSchema = z.object({
  kind: z.literal('bodyOffered'),
  body: z.string(),
  lot: z.string(),
  content: z.string(),
});

/** The sender has synced these bodies, or could not. */
export const bodiesStoredSchema = z.object({
  kind: z.literal('bodiesStored'),
  stored: z.array(z.string()),
  failed: z.array(z.string()),
});

/** Asks the receiver for a body that it holds. */
export const bodyAskedSchema = z.object({
  kind: z.literal('bodyAsked'),
  body: z.string(),
  lot: z.string(),
});

/** The body, or null where the sender does not have it. */
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
