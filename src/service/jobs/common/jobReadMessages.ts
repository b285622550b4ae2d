/**
 * How a daemon without the agreed jobs asks the leader for results and for bodies of items.
 */
import { z } from 'zod';
import { listedItemSchema } from './jobCommands.js';

const count = z.number().int().nonnegative();

/** What is read of a job. */
export const jobQuestionSchema = z.discriminatedUnion('kind', [
  /** The results from a position on; the answer may wait for the first. */
  z.object({ kind: z.literal('results'), after: count, waitMilliseconds: count }),
  /** The body of an item that is not listed. */
  z.object({ kind: z.literal('body'), item: z.string() }),
]);
export type JobQuestion = z.infer<typeof jobQuestionSchema>;

export const jobReadAskedSchema = z.object({
  kind: z.literal('jobReadAsked'),
  read: z.string(),
  job: z.string(),
  workspace: z.string().nullable(),
  question: jobQuestionSchema,
});

/** What the leader knows of the job. */
export const jobAnswerSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('results'), total: count, results: z.array(listedItemSchema) }),
  z.object({ kind: z.literal('body'), body: z.instanceof(Uint8Array) }),
  /** The workspace has no such job, or the job no such body. */
  z.object({ kind: z.literal('absent') }),
  /** The asked daemon can't be sure. */
  z.object({ kind: z.literal('unsure') }),
]);
export type JobAnswer = z.infer<typeof jobAnswerSchema>;

export const jobReadAnsweredSchema = z.object({
  kind: z.literal('jobReadAnswered'),
  read: z.string(),
  answer: jobAnswerSchema,
});

export const jobReadSchemas = [jobReadAskedSchema, jobReadAnsweredSchema] as const;
export type JobReadMessage = z.infer<(typeof jobReadSchemas)[number]>;
