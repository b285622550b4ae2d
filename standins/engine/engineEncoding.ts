/**
 * The message encoding of the model engine stand-in: parses JSON request bodies and builds JSON
 * answers and server-sent events.
 */
import * as z from 'zod';
import {
  chatCompletionsPath,
  resumeOffsetField,
  type EngineChunk,
} from '../../src/service/protocol/common/engineProtocol.js';
import type { EngineRequestRow } from './engineTables.js';
import { promptTokensOf, textBetween } from './engineText.js';

/** The fields of a request body that the stand-in reads. */
export const requestBodySchema = z.looseObject({
  model: z.string(),
  prompt: z.string().optional(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.string() })).optional(),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().nonnegative().optional(),
  [resumeOffsetField]: z.number().int().nonnegative().optional(),
});
export type RequestBody = z.infer<typeof requestBodySchema>;

/** A decoded request together with its original body text. */
export interface ReceivedRequest {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
  readonly body: RequestBody;
}

/** The prompt as one text, for both the completion and the chat completion route. */
export const promptOf = (body: RequestBody): string =>
  body.prompt ?? (body.messages ?? []).map((each) => `${each.role}: ${each.content}`).join('\n');

/** The tokens of a chunk and the weight version and incarnation that generated them. */
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

/** A stream chunk with one token. */
export const tokenChunk = (row: EngineRequestRow, metadata: ChunkMetadata) =>
  chunkOf(row, metadata, { ...streamedChoice(row, metadata.text), finish_reason: null });

/** The last chunk of a stream: no tokens, but the usage and the finish reason. */
export const lastChunk = (row: EngineRequestRow, metadata: ChunkMetadata) => ({
  ...chunkOf(row, metadata, { ...streamedChoice(row, ''), finish_reason: 'stop' }),
  usage: usageOf(row),
});

/** The complete answer. It has a weight version only if a single version generated all of it. */
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

/** Encodes one server-sent event. */
export const serverSentEvent = (data: string): string => `data: ${data}\n\n`;
