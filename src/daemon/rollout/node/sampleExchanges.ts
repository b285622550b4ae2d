/**
 * The bytes of rollouts: prompts as they came with a lot, and the texts of samples. The text of a sample
 * is that of the attempt that completed it; what other attempts wrote is dropped.
 */
import { createParser } from 'eventsource-parser';
import { Result } from 'neverthrow';
import {
  completionsPath,
  engineChunkSchema,
  streamEndMarker,
} from '../../../service/protocol/common/engineProtocol.js';
import type { RequestRow } from '../../../service/traffic/common/trafficTables.js';
import type {
  AttemptId,
  GroupId,
  LotId,
  RequestId,
} from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type { AnswerSink, Exchange } from '../../exchange/node/exchange.js';

/** Prompts and texts of the lots of this daemon. */
export interface SampleExchanges {
  readonly addPrompt: (group: GroupId, prompt: string) => void;
  /** The bytes of a request that runs for a sample, or undefined where its lot is gone. */
  readonly find: (request: RequestId) => Exchange | undefined;
  readonly textOf: (attempt: AttemptId) => string | undefined;
  /** Forgets the prompts and texts of a lot. */
  readonly forget: (lot: LotId) => void;
}

const readText = Result.fromThrowable(
  (data: string): string => {
    const [choice] = engineChunkSchema.parse(JSON.parse(data)).choices;
    return choice?.text ?? choice?.delta?.content ?? '';
  },
  () => undefined,
);

const createTextSink = (append: (text: string) => void): AnswerSink => {
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data !== streamEndMarker) readText(data).map(append);
    },
  });
  return {
    begin: () => {},
    write: (chunk) => parser.feed(decoder.decode(chunk, { stream: true })),
    onceDrained: () => Promise.resolve(),
  };
};

/** Creates the empty store. */
export const createSampleExchanges = (world: World): SampleExchanges => {
  const prompts = new Map<GroupId, string>();
  const texts = new Map<AttemptId, string>();

  const bodyOf = (request: RequestRow): Uint8Array | undefined => {
    const sample = world.samples.get(request.sample!);
    const lot = sample && world.lots.get(sample.lot);
    const prompt = sample && prompts.get(sample.group);
    if (lot === undefined || prompt === undefined) return undefined;
    const body = { model: lot.model, prompt, max_tokens: lot.maximumTokens, stream: true };
    return Buffer.from(JSON.stringify(body));
  };

  const sinkFor = (attempt: AttemptId): AnswerSink => {
    texts.set(attempt, '');
    return createTextSink((text) => texts.set(attempt, `${texts.get(attempt) ?? ''}${text}`));
  };

  const forgetTexts = (lot: LotId): void =>
    world.samples
      .where('lot', lot)
      .flatMap((sample) => sample.attempt ?? [])
      .forEach((attempt) => texts.delete(attempt));

  return {
    addPrompt: (group, prompt) => {
      prompts.set(group, prompt);
    },
    find: (id) => {
      const request = world.requests.get(id);
      const body = request === undefined || request.sample === null ? undefined : bodyOf(request);
      if (body === undefined) return undefined;
      const headers = { 'content-type': 'application/json' };
      const content = { method: 'POST', path: completionsPath, headers, body };
      return { content, sinkFor, close: () => {} };
    },
    textOf: (attempt) => texts.get(attempt),
    forget: (lot) => {
      forgetTexts(lot);
      world.groups.where('lot', lot).forEach((group) => prompts.delete(group.id));
    },
  };
};
