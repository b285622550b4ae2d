/**
 * What trainers say: they open a lot for a step, and fetch its batches by cursor. Bodies are JSON,
 * validated here at the border. Times are milliseconds that remain.
 */
import { z } from 'zod';

export const lotsPath = '/v1/lots';

/** The longest time that a lot may take, in milliseconds. */
export const maximumLotMilliseconds = 12 * 60 * 60 * 1000;

export const lotRequestSchema = z.strictObject({
  service: z.string().min(1),
  model: z.string().min(1),
  step: z.number().int().nonnegative(),
  groups: z.array(z.strictObject({ prompt: z.string() })).min(1),
  groupSize: z.number().int().positive(),
  /** Weight versions by which a sample may lag behind the trainer. */
  stalenessBound: z.number().int().nonnegative(),
  remaining: z.number().positive().max(maximumLotMilliseconds),
  /** The weight version that the trainer runs now. */
  trainerVersion: z.number().int().nonnegative(),
  maxTokens: z.number().int().positive(),
  /** Identifies the request: sent twice, it opens one lot. */
  request: z
    .string()
    .regex(/^[A-Za-z0-9._-]{1,100}$/, 'Write letters, digits, dots, dashes and underscores.')
    .optional(),
  /** What becomes of a running sample when its engine changes to other weights. */
  swapPolicy: z.enum(['continue', 'restart']).optional(),
});
export type LotRequest = z.infer<typeof lotRequestSchema>;

export const lotResponseSchema = z.object({ lot: z.string() });

export const spanSchema = z.object({
  weightVersion: z.number().int(),
  incarnation: z.number().int(),
  tokens: z.number().int(),
});

export const batchResponseSchema = z.object({
  cursor: z.number().int(),
  /** The cursor to ask for next, or null after the last batch of the lot. */
  nextCursor: z.number().int().nullable(),
  samples: z.array(
    z.object({
      sample: z.string(),
      group: z.string(),
      text: z.string(),
      spans: z.array(spanSchema),
    }),
  ),
});
export type BatchResponse = z.infer<typeof batchResponseSchema>;

export const lotStatusSchema = z.object({
  lot: z.string(),
  state: z.string(),
  failure: z.string().nullable(),
  owner: z.string(),
  /** How often the lot has got another owner. */
  epoch: z.number().int(),
  trainerVersion: z.number().int(),
  stalenessBound: z.number().int(),
  nextCursor: z.number().int(),
  /** Samples by state. */
  samples: z.record(z.string(), z.number().int()),
  /** Samples that run on the daemon that answers, by state; empty where it is not the owner. */
  runs: z.record(z.string(), z.number().int()),
  /** Samples that may run at once, or null where the daemon that answers is not the owner. */
  window: z.number().int().nullable(),
});
export type LotStatus = z.infer<typeof lotStatusSchema>;

/** The answer where no batch is ready: ask again after so many milliseconds. */
export const notReadyResponseSchema = z.object({ retryAfter: z.number() });

export const notReadyStatus = 202;

/** Query members of a fetch: the trainer's weight version, and how long the entry may hold the answer. */
export const trainerVersionQuery = 'trainerVersion';
export const waitQuery = 'wait';
