/**
 * What model engines say: the routes and chunks that clients of model engines already use, with two
 * members of our own in each chunk, the weight version and the incarnation that made its tokens.
 * Source: server-sent events or JSON bodies of the engine; validated here at the border.
 */
import { z } from 'zod';

export const chatCompletionsPath = '/v1/chat/completions';
export const completionsPath = '/v1/completions';

/** The last event of a stream. */
export const streamEndMarker = '[DONE]';

/** Member of a request body by which an engine that resumes streams skips tokens already received. */
export const resumeOffsetField = 'resume_from_token';

/** Carries the product's id of the attempt to the engine, and is echoed in its answer. */
export const attemptHeader = 'x-attempt-id';

/** Carries the scheduling priority to the engine; lower goes first. */
export const priorityHeader = 'x-priority';

export const usageSchema = z.object({
  prompt_tokens: z.number().int().nonnegative(),
  completion_tokens: z.number().int().nonnegative(),
});

/** One chunk of a stream, or, with the whole text, the body of an answer that is not streamed. */
export const engineChunkSchema = z.object({
  weight_version: z.number().int().nonnegative().optional(),
  incarnation: z.number().int().nonnegative().optional(),
  /** Tokens that this chunk carries. */
  tokens: z.number().int().nonnegative().optional(),
  choices: z.array(
    z.object({
      delta: z.object({ content: z.string().optional() }).optional(),
      message: z.object({ content: z.string() }).optional(),
      text: z.string().optional(),
      finish_reason: z.string().nullable().optional(),
    }),
  ),
  usage: usageSchema.nullable().optional(),
});
export type EngineChunk = z.infer<typeof engineChunkSchema>;

/** What an engine answers to a request that it refuses before running it; such a request did not run. */
export const engineRefusalStatus = 503;
export const engineRefusalHeader = 'x-not-run';

/** The path on an engine to which the leader posts orders. */
export const ordersPath = '/control/v1/orders';

/** The path on an engine from which its present state is read back. */
export const engineStatePath = '/control/v1/state';

export const orderSchema = z.strictObject({
  /** Identifies the order; an engine that has run it answers the same again. */
  order: z.string().min(1),
  /** Position of the intent in the agreed log; engines that check refuse lower numbers. */
  fencing: z.number().int().nonnegative(),
  action: z.enum(['loadWeights', 'loadAdapter', 'loadModel', 'changeRole']),
  /** Version, adapter, model or role, by action. */
  target: z.union([z.string(), z.number()]),
});
export type EngineOrder = z.infer<typeof orderSchema>;

export const engineStateSchema = z.object({
  incarnation: z.number().int().nonnegative(),
  weightVersion: z.number().int().nonnegative().nullable(),
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  role: z.string(),
  /** The highest fencing number seen, or null where the engine ignores them. */
  highestFencing: z.number().int().nonnegative().nullable(),
  /** Ids of the latest orders that were carried out, newest last. */
  ordersDone: z.array(z.string()),
});
export type EngineState = z.infer<typeof engineStateSchema>;
