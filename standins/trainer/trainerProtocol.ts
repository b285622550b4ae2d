/**
 * What the trainer stand-in and the entries say to each other about lots and batches.
 */
import { z } from 'zod';

/** The path to which lots are posted, and below which their batches are. */
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
  /** Samples in each group. */
  groupSize: z.number().int().positive(),
  /** How many versions the weights of a sample may lie behind the trainer's. */
  stalenessBound: z.number().int().nonnegative(),
  /** Milliseconds that are left to deliver the lot. */
  remaining: z.number().positive(),
  /** The weight version that the trainer has now. */
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
  /** Milliseconds after which to ask again. */
  retryAfter: z.number().nonnegative(),
});

export const lotOpenedStatus = 201;
export const batchStatus = 200;
export const notReadyStatus = 202;
