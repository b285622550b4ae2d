/**
 * Collects the answers of upstreams in memory until they are complete. An answer may come without
 * end, so its size and the sum over all answers of the process are limited; if the sum is exceeded,
 * the largest answer is abandoned, so that a small one is not lost because of others.
 */
import { createChunkList, type ChunkList } from '../../../base/node/chunkList.js';
import type { Limits } from '../../../infrastructure/settings/common/deployment.js';

/** One answer that is being collected. */
export interface CollectedAnswer {
  /** Adds bytes; calls `onDidExceed` of the answer that has to be abandoned, which may be another. */
  readonly add: (chunk: Buffer) => void;
  /** Returns the bytes and releases their part of the limit. */
  readonly take: () => Buffer;
  /** Discards the bytes. */
  readonly discard: () => void;
}

/** Collects answers within the limits of the process. */
export interface AnswerCollector {
  /** `onDidExceed` is called at most once, with the reason; the bytes are already discarded. */
  readonly open: (onDidExceed: (reason: string) => void) => CollectedAnswer;
  /** Bytes of all answers that are being collected. */
  readonly collectedBytes: () => number;
}

interface OpenAnswer {
  chunks: ChunkList;
  bytes: number;
  readonly onDidExceed: (reason: string) => void;
}

/** Creates the collector of a process. */
export const createAnswerCollector = ({
  maximumAnswerBytes,
  maximumCollectedBytes,
}: Pick<Limits, 'maximumAnswerBytes' | 'maximumCollectedBytes'>): AnswerCollector => {
  const openAnswers = new Set<OpenAnswer>();
  let collectedBytes = 0;

  const release = (answer: OpenAnswer): ChunkList => {
    const { chunks } = answer;
    if (openAnswers.delete(answer)) collectedBytes -= answer.bytes;
    Object.assign(answer, { chunks: createChunkList(), bytes: 0 });
    return chunks;
  };

  const abandon = (answer: OpenAnswer, reason: string): void => {
    release(answer);
    answer.onDidExceed(reason);
  };

  const abandonLargest = (): void => {
    const [first, ...others] = openAnswers;
    if (first === undefined) return;
    const largest = others.reduce((best, row) => (row.bytes > best.bytes ? row : best), first);
    abandon(largest, 'answers exceed the memory for collected answers, and this is the largest');
  };

  const add = (answer: OpenAnswer, chunk: Buffer): void => {
    if (!openAnswers.has(answer)) return;
    answer.chunks.add(chunk);
    Object.assign(answer, { bytes: answer.bytes + chunk.length });
    collectedBytes += chunk.length;
    if (answer.bytes > maximumAnswerBytes) abandon(answer, 'answer exceeds the maximum size');
    else if (collectedBytes > maximumCollectedBytes) abandonLargest();
  };

  return {
    open: (onDidExceed) => {
      const answer: OpenAnswer = { chunks: createChunkList(), bytes: 0, onDidExceed };
      openAnswers.add(answer);
      return {
        add: (chunk) => add(answer, chunk),
        take: () => release(answer).join(),
        discard: () => {
          release(answer);
        },
      };
    },
    collectedBytes: () => collectedBytes,
  };
};
