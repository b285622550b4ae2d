/**
 * HTTP protocol of model engines: the chat and completion routes and chunks that their clients
 * already use. Each chunk has two additional members: the weight version and the incarnation that
 * generated its tokens. These schemas validate server-sent events and JSON bodies of engines on
 * receipt.
 */
import * as z from 'zod';

export const chatCompletionsPath = '/v1/chat/completions';
export const completionsPath = '/v1/completions';

/** Data of the last event of a stream. */
export const streamEndMarker = '[DONE]';

/** Request member with the number of tokens already received, which a resuming engine skips. */
export const resumeOffsetField = 'resume_from_token';

/** Header with the identifier of the attempt, which the engine echoes in its answer. */
export const attemptHeader = 'x-attempt-id';

/** Header with the scheduling priority; lower values are served first. */
export const priorityHeader = 'x-priority';

/** Maximum tokens of one request, far above the context of any engine; sums of it stay exact. */
export const maximumTokens = 10_000_000;

const tokenCountSchema = z.number().int().nonnegative().max(maximumTokens);

export const usageSchema = z.object({
  prompt_tokens: tokenCountSchema,
  completion_tokens: tokenCountSchema,
});

/** One chunk of a stream, or the complete body of an answer that is not streamed. */
export const engineChunkSchema = z.object({
  weight_version: z.number().int().nonnegative().optional(),
  incarnation: z.number().int().nonnegative().optional(),
  /** Number of tokens in this chunk. */
  tokens: tokenCountSchema.optional(),
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

/** Status with which an engine refuses a request before running it; such a request did not run. */
export const engineRefusalStatus = 503;
export const engineRefusalHeader = 'x-not-run';

/** Path on an engine to which the leader posts orders. */
export const ordersPath = '/control/v1/orders';

/** Path on an engine that returns its current state. */
export const engineStatePath = '/control/v1/state';

export const orderSchema = z.strictObject({
  /** Identifies the order; an engine that has executed it returns the same answer again. */
  order: z.string().min(1),
  /** Fencing token: log index of the order's intent. Engines that check it refuse lower ones. */
  fencing: z.number().int().nonnegative(),
  action: z.enum(['loadWeights', 'loadAdapter', 'loadModel', 'changeRole']),
  /** Weight version, adapter, model or role, depending on the action. */
  target: z.union([z.string(), z.number()]),
});
export type EngineOrder = z.infer<typeof orderSchema>;

export const engineStateSchema = z.object({
  incarnation: z.number().int().nonnegative(),
  weightVersion: z.number().int().nonnegative().nullable(),
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  role: z.string(),
  /** Highest fencing token received, or null if the engine does not check fencing tokens. */
  highestFencing: z.number().int().nonnegative().nullable(),
  /** Identifiers of the latest executed orders, newest last. */
  ordersDone: z.array(z.string()),
});
export type EngineState = z.infer<typeof engineStateSchema>;
