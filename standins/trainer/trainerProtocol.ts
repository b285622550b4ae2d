/**
 * The HTTP protocol between the trainer stand-in and the entries: paths, status codes and message
 * schemas of lots and batches.
 */
import * as z from 'zod';

/** The path to which lots are posted; their batches are below it. */
export const lotsPath = '/v1/lots';

/** The path of a batch. */
export const batchPathOf = (lot: string, cursor: string): string =>
  `${lotsPath}/${encodeURIComponent(lot)}/batches/${encodeURIComponent(cursor)}`;

/** The cursor of the first batch of every lot. */
export const firstCursor = '0';

export const lotRequestSchema = z.strictObject({
  service: z.string().min(1),
  model: z.string().min(1),
  step: z.number().int().nonnegative(),
  groups: z.array(z.strictObject({ prompt: z.string() })).min(1),
  /** Number of samples in each group. */
  groupSize: z.number().int().positive(),
  /** Maximum number of versions by which the weights of a sample may lag behind the trainer. */
  stalenessBound: z.number().int().nonnegative(),
  /** Milliseconds left to deliver the lot. */
  remaining: z.number().positive(),
  /** The current weight version of the trainer. */
  trainerVersion: z.number().int().nonnegative(),
  maxTokens: z.number().int().positive(),
});
export type LotRequest = z.infer<typeof lotRequestSchema>;

export const lotAnswerSchema = z.object({ lot: z.string().min(1) });

export const sampleSchema = z.object({
  sample: z.string().min(1),
  group: z.union([z.string(), z.number()]),
  text: z.string(),
  spans: z.array(
    z.object({
      weightVersion: z.number().int().nonnegative(),
      incarnation: z.number().int().nonnegative(),
      tokens: z.number().int().positive(),
    }),
  ),
});
export type Sample = z.infer<typeof sampleSchema>;

const cursorSchema = z.union([z.string(), z.number()]).transform(String);

export const batchSchema = z.object({
  cursor: cursorSchema,
  /** The cursor of the next batch, or null after the last one. */
  nextCursor: cursorSchema.nullable(),
  samples: z.array(sampleSchema),
});
export type Batch = z.infer<typeof batchSchema>;

export const notReadySchema = z.object({
  /** Milliseconds to wait before the next request. */
  retryAfter: z.number().nonnegative(),
});

export const lotOpenedStatus = 201;
export const batchStatus = 200;
export const notReadyStatus = 202;
