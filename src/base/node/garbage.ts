/**
 * Collects received bytes that nobody holds any more. They are kept outside of the heap of V8, which lets
 * some 64 MB of them pile up before it looks: more than a small machine has to spare.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Milliseconds } from '../common/time.js';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as (options?: { readonly type: 'minor' | 'major' }) => void;

/** Received bytes after which chunks that were not kept are collected; this takes some 2 ms. */
const receivedBytesPerCollection = 4 * 1024 * 1024;

/** Dropped bytes after which blocks that were kept are collected; this takes some 20 ms. */
const droppedBytesPerCollection = 8 * 1024 * 1024;

/** Buffers from this size on are worth a collection of their own. */
const largeBufferBytes = 1024 * 1024;

/** Time between the release of large buffers and the collection, and so between two of these. */
const collectionDelayMilliseconds: Milliseconds = 300;

const createGarbageCollection = () => {
  let receivedBytes = 0;
  let droppedBytes = 0;
  let waiting: (() => void)[] = [];

  const collectReleased = (): void => {
    const released = waiting;
    waiting = [];
    collect();
    released.forEach((handle) => handle());
  };

  return {
    /** Counts bytes that arrived in chunks. */
    recordReceivedBytes: (bytes: number): void => {
      receivedBytes += bytes;
      if (receivedBytes < receivedBytesPerCollection) return;
      receivedBytes = 0;
      collect({ type: 'minor' });
    },
    /** Counts bytes of blocks that the caller no longer refers to. */
    recordDroppedBytes: (bytes: number): void => {
      droppedBytes += bytes;
      if (droppedBytes < droppedBytesPerCollection) return;
      droppedBytes = 0;
      collect();
    },
    /** Calls `onDidCollect` when the memory of a buffer that was released is free: at once if it is small. */
    releaseBuffer: (bytes: number, onDidCollect: () => void): void => {
      if (bytes < largeBufferBytes) {
        onDidCollect();
        return;
      }
      if (waiting.length === 0) setTimeout(collectReleased, collectionDelayMilliseconds);
      waiting.push(onDidCollect);
    },
  };
};

/** The collection of the process, as its heap is one for all. */
export const { recordReceivedBytes, recordDroppedBytes, releaseBuffer } = createGarbageCollection();
