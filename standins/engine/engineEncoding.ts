/**
 * How the model engine stand-in reads requests and writes answers: JSON bodies and server-sent events.
 */
import { z } from 'zod';
import {
  chatCompletionsPath,
  resumeOffsetField,
  type EngineChunk,
} from '../../src/service/protocol/common/engineProtocol.js';
import type { EngineRequestRow } from './engineTables.js';
import { promptTokensOf, textBetween } from './engineText.js';

/** A request body, as far as the stand-in reads it. */
export const requestBodySchema = z.looseObject({
  model: z.string(),
  prompt: z.string().optional(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.string() })).optional(),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().nonnegative().optional(),
  [resumeOffsetField]: z.number().int().nonnegative().optional(),
});
export type RequestBody = z.infer<typeof requestBodySchema>;

/** A decoded request and the text it came as. */
export interface ReceivedRequest {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
  readonly body: RequestBody;
}

/** The prompt of either route as one text. */
export const promptOf = (body: RequestBody): string =>
  body.prompt ?? (body.messages ?? []).map((each) => `${each.role}: ${each.content}`).join('\n');

/** Which tokens a chunk carries and who made them. */
export interface ChunkMetadata {
  readonly text: string;
  readonly tokens: number;
  readonly weightVersion: number | undefined;
  readonly incarnation: number;
}

type Choice = EngineChunk['choices'][number];

const isChat = (row: EngineRequestRow): boolean => row.path === chatCompletionsPath;

const streamedChoice = (row: EngineRequestRow, text: string): Choice =>
  isChat(row) ? { delta: { content: text } } : { text };

const completeChoice = (row: EngineRequestRow, text: string): Choice =>
  isChat(row) ? { message: { content: text } } : { text };

const objectTypeOf = (row: EngineRequestRow): string => {
  if (!isChat(row)) return 'text_completion';
  return row.isStreamed ? 'chat.completion.chunk' : 'chat.completion';
};

const chunkOf = (row: EngineRequestRow, metadata: ChunkMetadata, choice: Choice) => ({
  id: `completion-${row.id}`,
  object: objectTypeOf(row),
  model: row.model,
  weight_version: metadata.weightVersion,
  incarnation: metadata.incarnation,
  tokens: metadata.tokens,
  choices: [{ index: 0, ...choice }],
});

const usageOf = (row: EngineRequestRow) => ({
  prompt_tokens: promptTokensOf(row.prompt),
  completion_tokens: row.tokensSent,
  total_tokens: promptTokensOf(row.prompt) + row.tokensSent,
});

/** A chunk of a stream with one token. */
export const tokenChunk = (row: EngineRequestRow, metadata: ChunkMetadata) =>
  chunkOf(row, metadata, { ...streamedChoice(row, metadata.text), finish_reason: null });

/** The last chunk of a stream: no tokens, the usage and the reason of the end. */
export const lastChunk = (row: EngineRequestRow, metadata: ChunkMetadata) => ({
  ...chunkOf(row, metadata, { ...streamedChoice(row, ''), finish_reason: 'stop' }),
  usage: usageOf(row),
});

/** The whole answer. It names a weight version only where one version made all of it. */
export const completeAnswer = (
  row: EngineRequestRow,
  metadata: Omit<ChunkMetadata, 'text' | 'tokens'>,
) => {
  const text = textBetween(row.prompt, row.firstToken, row.firstToken + row.tokensSent);
  const choice = { ...completeChoice(row, text), finish_reason: 'stop' };
  return {
    ...chunkOf(row, { ...metadata, text, tokens: row.tokensSent }, choice),
    usage: usageOf(row),
  };
};

/** One server-sent event. */
export const serverSentEvent = (data: string): string => `data: ${data}\n\n`;
