/**
 * A list of received bytes. A received chunk costs some hundred bytes beside its content, so a sender
 * of tiny chunks could fill the memory below any limit of bytes. Small chunks are therefore copied
 * into blocks of growing size.
 */

import { recordDroppedBytes } from './garbage.js';

/** Chunks from this size on are kept as they are; their overhead is small. */
const minimumKeptBytes = 4 * 1024;

const firstBlockBytes = 1024;
const maximumBlockBytes = 64 * 1024;

/** Bytes in the order in which they were added. */
export interface ChunkList {
  readonly add: (chunk: Buffer) => void;
  /** Returns all bytes as one buffer, and empties the list. */
  readonly join: () => Buffer;
}

/** Creates an empty list. */
export const createChunkList = (): ChunkList => {
  const closedBlocks: Buffer[] = [];
  let block = Buffer.alloc(0);
  let filledBytes = 0;
  let nextBlockBytes = firstBlockBytes;

  const closeFilledPart = (): void => {
    if (filledBytes === 0) return;
    closedBlocks.push(block.subarray(0, filledBytes));
    block = block.subarray(filledBytes);
    filledBytes = 0;
  };

  const openBlock = (minimumBytes: number): void => {
    closeFilledPart();
    block = Buffer.allocUnsafeSlow(Math.max(nextBlockBytes, minimumBytes));
    nextBlockBytes = Math.min(2 * nextBlockBytes, maximumBlockBytes);
  };

  const copyIntoBlock = (chunk: Buffer): void => {
    if (chunk.length > block.length - filledBytes) openBlock(chunk.length);
    filledBytes += chunk.copy(block, filledBytes);
  };

  const keep = (chunk: Buffer): void => {
    closeFilledPart();
    closedBlocks.push(chunk);
  };

  return {
    add: (chunk) => {
      if (chunk.length < minimumKeptBytes) copyIntoBlock(chunk);
      else keep(chunk);
    },
    join: () => {
      closeFilledPart();
      const joined = Buffer.allocUnsafeSlow(
        closedBlocks.reduce((sum, { length }) => sum + length, 0),
      );
      let position = joined.length;
      // Blocks are dropped as they are copied, so that a large list is not held twice.
      for (let last = closedBlocks.pop(); last !== undefined; last = closedBlocks.pop()) {
        position -= last.length;
        last.copy(joined, position);
        recordDroppedBytes(last.length);
      }
      return joined;
    },
  };
};
