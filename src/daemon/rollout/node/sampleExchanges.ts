/**
 * Creates the exchanges of requests that generate samples. Their content comes from the prompts of
 * the lot, which the port of bodies keeps in memory while the lot runs on this daemon.
 */
import { Result } from 'neverthrow';
import * as z from 'zod';
import { completionsPath } from '../../../service/protocol/common/engineProtocol.js';
import type { LotRow } from '../../../service/rollout/common/ledgerRows.js';
import { promptBodyIdOf } from '../../../service/rollout/common/putLot.js';
import type { BodyId, RequestId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type { Exchange } from '../../exchange/node/exchange.js';
import type { BodyPort } from '../common/bodyPort.js';
import type { SampleTexts } from './sampleTexts.js';

/** Finds the exchanges of sample requests. */
export interface SampleExchanges {
  /** Returns the exchange of a sample request; undefined if its sample or lot is gone. */
  readonly find: (request: RequestId) => Exchange | undefined;
}

const parsePrompts = Result.fromThrowable(
  (content: string): readonly string[] => z.array(z.string()).parse(JSON.parse(content)),
  () => undefined,
);

/** Encodes the prompts of a lot as a body. */
export const encodePrompts = (prompts: readonly string[]): string => JSON.stringify(prompts);

/** Number of lots whose parsed prompts are cached; the cache is cleared when it is full. */
const maximumCachedLots = 64;

/** Creates the lookup of exchanges, with a cache of parsed prompts. */
export const createSampleExchanges = (
  world: World,
  bodies: BodyPort,
  texts: SampleTexts,
): SampleExchanges => {
  const promptsByBody = new Map<BodyId, readonly string[]>();

  const getPrompts = (lot: LotRow): readonly string[] | undefined => {
    const body = promptBodyIdOf(lot.id, lot.promptDigest);
    const cached = promptsByBody.get(body);
    if (cached !== undefined) return cached;
    const prompts = parsePrompts(bodies.getContent(body) ?? '').unwrapOr(undefined);
    if (promptsByBody.size >= maximumCachedLots) promptsByBody.clear();
    if (prompts !== undefined) promptsByBody.set(body, prompts);
    return prompts;
  };

  const encodeRequestBody = (lot: LotRow, prompt: string): Uint8Array =>
    Buffer.from(
      JSON.stringify({ model: lot.model, prompt, max_tokens: lot.maximumTokens, stream: true }),
    );

  return {
    find: (id) => {
      const sampleId = world.requests.get(id)?.sample ?? null;
      const sample = sampleId === null ? undefined : world.samples.get(sampleId);
      const lot = sample && world.lots.get(sample.lot);
      const prompt = lot && getPrompts(lot)?.[sample.position];
      if (sample === undefined || lot === undefined || prompt === undefined) return undefined;
      const headers = { 'content-type': 'application/json' };
      const body = encodeRequestBody(lot, prompt);
      const content = { method: 'POST', path: completionsPath, headers, body };
      return {
        content,
        openSink: (attempt) => texts.openSink(sample.id, attempt),
        close: () => {},
      };
    },
  };
};
