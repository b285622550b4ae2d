/**
 * HTTP protocol of trainers, which open a lot for a training step and fetch its batches by cursor.
 * These schemas validate the JSON bodies on receipt. Times are remaining milliseconds.
 */
import * as z from 'zod';
import { maximumTokens } from './engineProtocol.js';

export const lotsPath = '/v1/lots';

/** Maximum duration of a lot, in milliseconds. */
export const maximumLotMilliseconds = 12 * 60 * 60 * 1000;

/**
 * Maximum samples of a lot. Each is a row on every control daemon; a step of the largest trainers
 * has some thousand.
 */
export const maximumLotSamples = 100_000;

const lotFields = {
  service: z.string().min(1),
  model: z.string().min(1),
  step: z.number().int().nonnegative(),
  groups: z.array(z.strictObject({ prompt: z.string() })).min(1),
  groupSize: z.number().int().positive(),
  /** Maximum number of weight versions by which a sample may lag behind the trainer. */
  stalenessBound: z.number().int().nonnegative(),
  remaining: z.number().positive().max(maximumLotMilliseconds),
  /** Current weight version of the trainer. */
  trainerVersion: z.number().int().nonnegative(),
  maxTokens: z.number().int().positive().max(maximumTokens),
  /** Identifies the request; resending it does not open a second lot. */
  request: z
    .string()
    .regex(/^[A-Za-z0-9._-]{1,100}$/, 'Use letters, digits, dots, dashes and underscores.')
    .optional(),
  /** Whether a running sample continues or restarts when its engine swaps weights. */
  swapPolicy: z.enum(['continue', 'restart']).optional(),
};

export const lotRequestSchema = z
  .strictObject(lotFields)
  .refine(({ groups, groupSize }) => groups.length * groupSize <= maximumLotSamples, {
    path: ['groupSize'],
    message: `A lot has at most ${maximumLotSamples} samples`,
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
  /** Cursor of the next batch, or null after the last batch of the lot. */
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
  /** Number of times that the owner of the lot has changed. */
  epoch: z.number().int(),
  trainerVersion: z.number().int(),
  stalenessBound: z.number().int(),
  nextCursor: z.number().int(),
  /** Number of samples by state. */
  samples: z.record(z.string(), z.number().int()),
  /** Number of runs on the responding daemon by state; empty if it is not the owner. */
  runs: z.record(z.string(), z.number().int()),
  /** Maximum number of concurrent samples, or null if the responding daemon is not the owner. */
  window: z.number().int().nullable(),
});
export type LotStatus = z.infer<typeof lotStatusSchema>;

/** Response if no batch is ready; `retryAfter` is the delay before a retry in milliseconds. */
export const notReadyResponseSchema = z.object({ retryAfter: z.number() });

export const notReadyStatus = 202;

/** Query parameters of a fetch: the trainer's weight version, and the long-poll wait. */
export const trainerVersionQuery = 'trainerVersion';
export const waitQuery = 'wait';
