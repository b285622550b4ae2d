/**
 * Collects the answers of upstreams in memory until they are complete. An answer may come without
 * end, so its size and the sum over all answers of the process are limited; if the sum is exceeded,
 * the largest answer is abandoned, so that a small one is not lost because of others.
 */
import type { Milliseconds } from '../../../base/common/time.js';
import { createChunkList, type ChunkList } from '../../../base/node/chunkList.js';
import { recordDroppedBytes, recordReceivedBytes } from '../../../base/node/garbage.js';
import type { Limits } from '../../../infrastructure/settings/common/deployment.js';
import type { UnreadAnswers } from '../../../service/admission/common/unreadAnswers.js';

/** One answer that is being collected. */
export interface CollectedAnswer {
  /**
   * Calls `onDidGetRoom` when there is memory for an answer that announces this length: at once if it is
   * small, else in the order of the calls. It is not called if the answer is released before.
   */
  readonly waitForRoom: (announcedBytes: number, onDidGetRoom: () => void) => void;
  /** Adds bytes; calls `onDidExceed` of the answer that has to be abandoned, which may be another. */
  readonly add: (chunk: Buffer) => void;
  /** Returns the bytes, which count towards the limit until `release` is called. */
  readonly take: () => Buffer;
  readonly release: () => void;
  /** Discards the bytes if they were not taken. */
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
  takenBytes: number;
  /** Announced length for which memory was set aside. */
  reservedBytes: number;
  readonly onDidExceed: (reason: string) => void;
}

interface WaitingAnswer {
  readonly answer: OpenAnswer;
  readonly announcedBytes: number;
  readonly onDidGetRoom: () => void;
}

/** Answers below this size are collected at once. */
const largeAnswerBytes = 1024 * 1024;

/** An answer takes up to this many times its size while its chunks are joined. */
const joiningFactor = 1.5;

/** Interval at which the first answer that waits for room is tried again. */
const roomCheckMilliseconds: Milliseconds = 20;

/** Creates the collector of a process; answers that callers leave unread count towards its limit. */
export const createAnswerCollector = (
  {
    maximumAnswerBytes,
    maximumCollectedBytes,
  }: Pick<Limits, 'maximumAnswerBytes' | 'maximumCollectedBytes'>,
  unreadAnswers?: UnreadAnswers,
): AnswerCollector => {
  const openAnswers = new Set<OpenAnswer>();
  let collectedBytes = 0;
  let takenBytes = 0;
  const waiting: WaitingAnswer[] = [];

  const release = (answer: OpenAnswer): ChunkList => {
    const { chunks } = answer;
    if (openAnswers.delete(answer)) collectedBytes -= answer.bytes;
    Object.assign(answer, { chunks: createChunkList(), bytes: 0 });
    return chunks;
  };

  /** Memory that is held or set aside. */
  const computeHeldBytes = (): number =>
    [...openAnswers].reduce(
      (sum, { bytes, reservedBytes }) => sum + Math.max(bytes, reservedBytes),
      takenBytes + (unreadAnswers?.heldBytes() ?? 0),
    );

  const hasRoomFor = (bytes: number): boolean => {
    const heldBytes = computeHeldBytes();
    return heldBytes === 0 || heldBytes + bytes * joiningFactor <= maximumCollectedBytes;
  };

  const startWaiting = (): void => {
    while (waiting.length > 0) {
      const { answer, announcedBytes, onDidGetRoom } = waiting[0]!;
      if (openAnswers.has(answer) && !hasRoomFor(announcedBytes)) {
        unreadAnswers?.giveUpOldest();
        setTimeout(startWaiting, roomCheckMilliseconds);
        return;
      }
      waiting.shift();
      if (openAnswers.has(answer)) {
        Object.assign(answer, { reservedBytes: announcedBytes });
        onDidGetRoom();
      }
    }
  };

  const waitForRoom = (
    answer: OpenAnswer,
    announcedBytes: number,
    onDidGetRoom: () => void,
  ): void => {
    if (announcedBytes < largeAnswerBytes || announcedBytes > maximumAnswerBytes) {
      onDidGetRoom();
      return;
    }
    waiting.push({ answer, announcedBytes, onDidGetRoom });
    if (waiting.length === 1) startWaiting();
  };

  const discard = (answer: OpenAnswer): void => {
    const { bytes } = answer;
    release(answer);
    recordDroppedBytes(bytes);
  };

  const abandon = (answer: OpenAnswer, reason: string): void => {
    discard(answer);
    answer.onDidExceed(reason);
  };

  const abandonLargest = (): void => {
    const [first, ...others] = openAnswers;
    if (first === undefined) return;
    const largest = others.reduce((best, row) => (row.bytes > best.bytes ? row : best), first);
    abandon(largest, 'answers exceed the memory for collected answers, and this is the largest');
  };

  const makeRoom = (): void => {
    const unreadBytes = unreadAnswers?.heldBytes() ?? 0;
    if (collectedBytes + takenBytes + unreadBytes <= maximumCollectedBytes) return;
    unreadAnswers?.giveUpOldest();
    abandonLargest();
  };

  const take = (answer: OpenAnswer): Buffer => {
    Object.assign(answer, { takenBytes: answer.bytes });
    takenBytes += answer.bytes;
    return release(answer).join();
  };

  const releaseTaken = (answer: OpenAnswer): void => {
    takenBytes -= answer.takenBytes;
    Object.assign(answer, { takenBytes: 0 });
  };

  const add = (answer: OpenAnswer, chunk: Buffer): void => {
    recordReceivedBytes(chunk.length);
    if (!openAnswers.has(answer)) return;
    answer.chunks.add(chunk);
    Object.assign(answer, { bytes: answer.bytes + chunk.length });
    collectedBytes += chunk.length;
    if (answer.bytes > maximumAnswerBytes) abandon(answer, 'answer exceeds the maximum size');
    else makeRoom();
  };

  return {
    open: (onDidExceed) => {
      const answer: OpenAnswer = {
        chunks: createChunkList(),
        bytes: 0,
        takenBytes: 0,
        reservedBytes: 0,
        onDidExceed,
      };
      openAnswers.add(answer);
      return {
        waitForRoom: (announcedBytes, onDidGetRoom) =>
          waitForRoom(answer, announcedBytes, onDidGetRoom),
        add: (chunk) => add(answer, chunk),
        take: () => take(answer),
        release: () => releaseTaken(answer),
        discard: () => discard(answer),
      };
    },
    collectedBytes: () => collectedBytes,
  };
};
