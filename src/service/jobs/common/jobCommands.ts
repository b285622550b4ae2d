/**
 * Commands of batch jobs: a job is accepted once with all its items, its results are listed in positions
 * that never change, and it is ended once.
 */
import { z } from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';

export const ItemResult = {
  /** The text is whole. */
  Completed: 'completed',
  /** The item is given up. */
  Dead: 'dead',
} as const;
export type ItemResult = ValueOf<typeof ItemResult>;

/** The request that scores the text of an item once it is whole. */
export const scorerSchema = z.object({
  requestId: z.string(),
  host: z.string(),
  path: z.string(),
  body: z.instanceof(Uint8Array),
});
export type Scorer = z.infer<typeof scorerSchema>;

/** One request of a job. */
export const jobItemSchema = z.object({
  item: z.string().min(1),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: z.instanceof(Uint8Array),
  /** Prompt tokens and the most output tokens together. */
  tokens: z.number(),
  /** Output tokens that the trainer expects; null where it does not say. */
  expectedTokens: z.number().nullable(),
  /** Items of one group share their prompt. */
  group: z.string(),
  scorer: scorerSchema.nullable(),
});
export type JobItem = z.infer<typeof jobItemSchema>;

/** Accepts a job; one that is accepted already stays as it is. */
export const jobSubmittedSchema = z.object({
  kind: z.literal('jobSubmitted'),
  job: z.string().min(1),
  workspace: z.string().nullable(),
  host: z.string(),
  path: z.string(),
  model: z.string(),
  step: z.number(),
  /** The oldest weight version that may make its tokens. */
  minimumVersion: z.number(),
  /** Groups that the trainer waits for. */
  groupCount: z.number(),
  /** Wall clock of the daemon that took it, in milliseconds. */
  submittedAt: z.number(),
  items: z.array(jobItemSchema),
});
export type JobSubmitted = z.infer<typeof jobSubmittedSchema>;

export const listedItemSchema = z.object({
  item: z.string(),
  result: z.enum(ItemResult),
  text: z.string(),
  versions: z.array(z.number()),
  score: z.string().nullable(),
});
export type ListedItem = z.infer<typeof listedItemSchema>;

/** Lists results in the next positions; items that are listed already are left out. */
export const itemsListedSchema = z.object({
  kind: z.literal('itemsListed'),
  job: z.string(),
  results: z.array(listedItemSchema),
});

/** The beginning of a text. */
export const savedTextSchema = z.object({
  /** How many events it has. */
  events: z.number().int().positive(),
  text: z.string(),
  versions: z.array(z.number()),
});
export type SavedText = z.infer<typeof savedTextSchema>;

export const savedItemSchema = savedTextSchema.extend({
  item: z.string(),
  /** Events that were agreed before; the text is what follows them. */
  after: z.number().int().nonnegative(),
});
export type SavedItem = z.infer<typeof savedItemSchema>;

/** Keeps the beginnings of long texts, so that they outlive the leader. */
export const textsSavedSchema = z.object({
  kind: z.literal('textsSaved'),
  job: z.string(),
  saved: z.array(savedItemSchema),
});

/** Ends a job: nothing of it runs any more, and what is listed stays. */
export const jobEndedSchema = z.object({ kind: z.literal('jobEnded'), job: z.string() });

/** Forgets an ended job and its results. */
export const jobForgottenSchema = z.object({ kind: z.literal('jobForgotten'), job: z.string() });

export const jobCommandSchemas = [
  jobSubmittedSchema,
  itemsListedSchema,
  textsSavedSchema,
  jobEndedSchema,
  jobForgottenSchema,
] as const;
export type JobCommand = z.infer<(typeof jobCommandSchemas)[number]>;
