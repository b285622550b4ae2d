/**
 * The bytes of requests that run for samples: made from the prompts of their lot, which the port of
 * bodies has in memory while the lot runs here.
 */
import { Result } from 'neverthrow';
import { z } from 'zod';
import { completionsPath } from '../../../service/protocol/common/engineProtocol.js';
import type { LotRow } from '../../../service/rollout/common/ledgerRows.js';
import { promptBodyIdOf } from '../../../service/rollout/common/putLot.js';
import type { BodyId, RequestId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type { Exchange } from '../../exchange/node/exchange.js';
import type { BodyPort } from '../common/bodyPort.js';
import type { SampleTexts } from './sampleTexts.js';

/** Finds the bytes of requests of samples. */
export interface SampleExchanges {
  /** The bytes of a request that runs for a sample, or undefined where its lot is gone. */
  readonly find: (request: RequestId) => Exchange | undefined;
}

const parsePrompts = Result.fromThrowable(
  (content: string): readonly string[] => z.array(z.string()).parse(JSON.parse(content)),
  () => undefined,
);

/** The prompts of a lot as a body. */
export const encodePrompts = (prompts: readonly string[]): string => JSON.stringify(prompts);

/** Prompts that have been parsed, for as long as the port has their content. */
const maximumParsedLots = 64;

/** Creates the finder. */
export const createSampleExchanges = (
  world: World,
  bodies: BodyPort,
  texts: SampleTexts,
): SampleExchanges => {
  const parsed = new Map<BodyId, readonly string[]>();

  const promptsOf = (lot: LotRow): readonly string[] | undefined => {
    const body = promptBodyIdOf(lot.id, lot.promptDigest);
    const known = parsed.get(body);
    if (known !== undefined) return known;
    const prompts = parsePrompts(bodies.contentOf(body) ?? '').unwrapOr(undefined);
    if (parsed.size >= maximumParsedLots) parsed.clear();
    if (prompts !== undefined) parsed.set(body, prompts);
    return prompts;
  };

  const encodeBody = (lot: LotRow, prompt: string): Uint8Array =>
    Buffer.from(
      JSON.stringify({ model: lot.model, prompt, max_tokens: lot.maximumTokens, stream: true }),
    );

  return {
    find: (id) => {
      const sampleId = world.requests.get(id)?.sample ?? null;
      const sample = sampleId === null ? undefined : world.samples.get(sampleId);
      const lot = sample && world.lots.get(sample.lot);
      const prompt = lot && promptsOf(lot)?.[sample.position];
      if (sample === undefined || lot === undefined || prompt === undefined) return undefined;
      const headers = { 'content-type': 'application/json' };
      const body = encodeBody(lot, prompt);
      const content = { method: 'POST', path: completionsPath, headers, body };
      return {
        content,
        openSink: (attempt) => texts.sinkFor(sample.id, attempt),
        close: () => {},
      };
    },
  };
};
