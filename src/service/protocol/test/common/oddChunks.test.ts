/**
 * Chunks of engines with numbers whose sum no log entry may hold: the spans of a sample go into the
 * ledger, where a count must be a safe integer.
 */
import test from 'ava';
import { engineChunkSchema } from '../../common/engineProtocol.js';
import { spanSchema } from '../../common/trainerProtocol.js';

const soundChunk = {
  weight_version: 3,
  incarnation: 1,
  tokens: 1,
  choices: [{ delta: { content: 'a' } }],
};

/** Chunks that fit into the largest answer that a daemon forwards: 256 MiB of 64 bytes each. */
const maximumChunks = 4_194_304;

const tokenCounts = [1, 1_000, 10_000_000, 1e9, 1e12, 2 ** 52, Number.MAX_SAFE_INTEGER];

tokenCounts.forEach((tokens) =>
  test(`a span of chunks of ${tokens} tokens can be stored, or they are refused`, (t) => {
    const parsed = engineChunkSchema.safeParse({ ...soundChunk, tokens });
    const span = { weightVersion: 3, incarnation: 1, tokens: tokens * maximumChunks };
    t.true(!parsed.success || spanSchema.safeParse(span).success);
  }),
);

test('sound chunks and usages are accepted, and usages that are too large are not', (t) => {
  const usageOf = (tokens: number) => ({ prompt_tokens: tokens, completion_tokens: tokens });
  t.true(engineChunkSchema.safeParse(soundChunk).success);
  t.true(engineChunkSchema.safeParse({ ...soundChunk, usage: usageOf(100_000) }).success);
  t.false(engineChunkSchema.safeParse({ ...soundChunk, usage: usageOf(2 ** 52) }).success);
});
