/**
 * Messages by which a daemon that does not hold the replicated jobs reads results and item bodies
 * from the leader.
 */
import * as z from 'zod';
import { listedItemSchema } from './jobCommands.js';

const count = z.number().int().nonnegative();

/** The part of a job that is read. */
export const jobQuestionSchema = z.discriminatedUnion('kind', [
  /** Results from a position on; waits up to `waitMilliseconds` for the first one. */
  z.object({ kind: z.literal('results'), after: count, waitMilliseconds: count }),
  /** The request body of an item without a listed result. */
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

/** The answer to a read. */
export const jobAnswerSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('results'),
    total: count,
    results: z.array(listedItemSchema),
    /** Daemons that hold the texts of the results; absent without home regions. */
    holders: z.array(z.string()).readonly().optional(),
  }),
  z.object({ kind: z.literal('body'), body: z.instanceof(Uint8Array) }),
  /** A body that these daemons hold. */
  z.object({
    kind: z.literal('heldBody'),
    digest: z.string(),
    holders: z.array(z.string()).readonly(),
  }),
  /** The workspace has no such job, or the job has no such body. */
  z.object({ kind: z.literal('absent') }),
  /** The daemon does not hold the lease, so its rows may be out of date. */
  z.object({ kind: z.literal('unsure') }),
]);
export type JobAnswer = z.infer<typeof jobAnswerSchema>;

/** An answer with all contents, as a caller receives it. */
export type FinalAnswer = Exclude<JobAnswer, { kind: 'heldBody' }>;

export const jobReadAnsweredSchema = z.object({
  kind: z.literal('jobReadAnswered'),
  read: z.string(),
  answer: jobAnswerSchema,
});

export const jobReadSchemas = [jobReadAskedSchema, jobReadAnsweredSchema] as const;
export type JobReadMessage = z.infer<(typeof jobReadSchemas)[number]>;
