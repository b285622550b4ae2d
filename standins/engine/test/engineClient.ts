/**
 * An HTTP client for tests of the model engine stand-in.
 */
import { request } from 'undici';
import {
  completionsPath,
  engineChunkSchema,
  ordersPath,
  streamEndMarker,
  type EngineChunk,
} from '../../../src/service/protocol/common/engineProtocol.js';

/** The received part of a stream. */
export interface ReceivedStream {
  readonly chunks: readonly EngineChunk[];
  readonly text: string;
  /** Whether the end marker was received. */
  readonly isComplete: boolean;
}

const eventPrefix = 'data: ';

const readUntilClosed = async (body: AsyncIterable<Buffer>): Promise<string> => {
  let text = '';
  try {
    for await (const part of body) text += part.toString();
  } catch {
    return text;
  }
  return text;
};

/** Posts a JSON body. */
export const post = (url: string, body: object, headers: Record<string, string> = {}) =>
  request(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
  });

/** The content of a chunk, for both the completion and the chat completion route. */
const contentOf = (chunk: EngineChunk): string =>
  chunk.choices[0]?.text ?? chunk.choices[0]?.delta?.content ?? '';

/** Streams a completion until it ends or the connection is cut. */
export const streamCompletion = async (
  address: string,
  body: object,
  path = completionsPath,
): Promise<ReceivedStream> => {
  const answer = await post(`${address}${path}`, { model: 'm', stream: true, ...body });
  const received = await readUntilClosed(answer.body);
  const events = received
    .split('\n\n')
    .filter((event) => event.startsWith(eventPrefix))
    .map((event) => event.slice(eventPrefix.length));
  const chunks = events
    .filter((event) => event !== streamEndMarker)
    .map((event) => engineChunkSchema.parse(JSON.parse(event)));
  const text = chunks.map(contentOf).join('');
  return { chunks, text, isComplete: events.at(-1) === streamEndMarker };
};

/** Posts an order to load a weight version and returns the status code. */
export const sendLoadWeightsOrder = async (
  address: string,
  order: string,
  fencing: number,
  target: number,
) => {
  const answer = await post(`${address}${ordersPath}`, {
    order,
    fencing,
    action: 'loadWeights',
    target,
  });
  await answer.body.dump();
  return answer.statusCode;
};
