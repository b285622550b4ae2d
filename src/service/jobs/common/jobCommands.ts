/**
 * Schemas of the replicated commands of batch jobs. A job is accepted once with all its items,
 * each result is listed at a position that never changes, and the job ends once.
 */
import * as z from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';

export const ItemResult = {
  /** The text is complete. */
  Completed: 'completed',
  /** The item was abandoned without a result. */
  Dead: 'dead',
} as const;
export type ItemResult = ValueOf<typeof ItemResult>;

/** The request that scores the complete text of an item. */
export const scorerSchema = z.object({
  requestId: z.string(),
  host: z.string(),
  path: z.string(),
  /** Empty if the job has home regions. */
  body: z.instanceof(Uint8Array),
  /** Digest of the body, which the holders of the job store; absent without home regions. */
  contentDigest: z.string().optional(),
});
export type Scorer = z.infer<typeof scorerSchema>;

/** One request of a job. */
export const jobItemSchema = z.object({
  item: z.string().min(1),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  /** Empty if the job has home regions. */
  body: z.instanceof(Uint8Array),
  /** Digest of the body, which the holders of the job store; absent without home regions. */
  contentDigest: z.string().optional(),
  /** Prompt tokens plus the maximum of output tokens. */
  tokens: z.number(),
  /** Maximum of output tokens; absent if the client gave none, as in entries of earlier releases. */
  maximumOutputTokens: z.number().int().positive().optional(),
  /** Output tokens that the trainer expects; null if it gives no estimate. */
  expectedTokens: z.number().nullable(),
  /** Name of the group; the items of a group share their prompt. */
  group: z.string(),
  scorer: scorerSchema.nullable(),
});
export type JobItem = z.infer<typeof jobItemSchema>;

/** Accepts a job. Has no effect on a job that is already accepted. */
export const jobSubmittedSchema = z.object({
  kind: z.literal('jobSubmitted'),
  job: z.string().min(1),
  workspace: z.string().nullable(),
  host: z.string(),
  path: z.string(),
  model: z.string(),
  step: z.number(),
  /** The oldest weight version that may generate its tokens. */
  minimumVersion: z.number(),
  /** Number of groups that the trainer waits for. */
  groupCount: z.number(),
  /** Wall-clock time at the daemon that received the job, in milliseconds since the Unix epoch. */
  submittedAt: z.number(),
  items: z.array(jobItemSchema),
  /** Regions that may store its contents; empty without a limit, as in entries of earlier releases. */
  homeRegions: z.array(z.string()).readonly().default([]),
  /** Names of the daemons that store its contents; empty without home regions. */
  holders: z.array(z.string()).readonly().default([]),
});
export type JobSubmitted = z.infer<typeof jobSubmittedSchema>;

export const listedItemSchema = z.object({
  item: z.string(),
  result: z.enum(ItemResult),
  /** Empty if the job has home regions. */
  text: z.string(),
  versions: z.array(z.number()),
  score: z.string().nullable(),
  /** The text, which the holders of the job store; absent without home regions. */
  heldText: z.object({ digest: z.string(), characters: z.number() }).optional(),
});
export type ListedItem = z.infer<typeof listedItemSchema>;

/** Lists results at the next positions; items that are already listed are skipped. */
export const itemsListedSchema = z.object({
  kind: z.literal('itemsListed'),
  job: z.string(),
  results: z.array(listedItemSchema),
});

/** The text of an item from its start up to some event. */
export const savedTextSchema = z.object({
  /** Number of events in the text. */
  events: z.number().int().positive(),
  text: z.string(),
  versions: z.array(z.number()),
  /**
   * Software version of the engines that wrote the text; absent if it is unknown, as in entries of
   * earlier releases. Such a text is not continued.
   */
  softwareVersion: z.string().optional(),
});
export type SavedText = z.infer<typeof savedTextSchema>;

export const savedItemSchema = savedTextSchema.extend({
  item: z.string(),
  /** Number of events that were saved before; the text is the part that follows them. */
  after: z.number().int().nonnegative(),
});
export type SavedItem = z.infer<typeof savedItemSchema>;

/** Saves partial texts, so that they survive a change of leader. */
export const textsSavedSchema = z.object({
  kind: z.literal('textsSaved'),
  job: z.string(),
  saved: z.array(savedItemSchema),
});

/** Removes the saved texts of items, because the engine that wrote them turned out to be broken. */
export const textsDiscardedSchema = z.object({
  kind: z.literal('textsDiscarded'),
  job: z.string(),
  items: z.array(z.string()),
});

/** Ends a job: its runs are cancelled and its listed results are kept. */
export const jobEndedSchema = z.object({ kind: z.literal('jobEnded'), job: z.string() });

/** Removes an ended job with its items and results. */
export const jobForgottenSchema = z.object({ kind: z.literal('jobForgotten'), job: z.string() });

/** Appoints the daemon that runs the items of a job with home regions; proposed by the leader. */
export const runnerSetSchema = z.object({
  kind: z.literal('runnerSet'),
  job: z.string(),
  runner: z.string(),
});

/** Replaces the daemons that store the contents of a job. */
export const holdersSetSchema = z.object({
  kind: z.literal('holdersSet'),
  job: z.string(),
  holders: z.array(z.string()).readonly(),
});

export const jobCommandSchemas = [
  jobSubmittedSchema,
  itemsListedSchema,
  textsSavedSchema,
  textsDiscardedSchema,
  jobEndedSchema,
  jobForgottenSchema,
  runnerSetSchema,
  holdersSetSchema,
] as const;
export type JobCommand = z.infer<(typeof jobCommandSchemas)[number]>;
