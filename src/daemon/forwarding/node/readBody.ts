/**
 * Reads the body of a short response into memory. A body that may have no end is not read to it: the
 * connection is closed instead.
 */
import type { IncomingMessage } from 'node:http';
import { createChunkList } from '../../../base/node/chunkList.js';

/**
 * Reads the body; `onDidEnd` is called once, with null if the body exceeds `maximumBytes` or breaks
 * off.
 */
export const readBody = (
  response: IncomingMessage,
  maximumBytes: number,
  onDidEnd: (body: Buffer | null) => void,
): void => {
  const chunks = createChunkList();
  let readBytes = 0;
  let hasEnded = false;
  const end = (body: Buffer | null): void => {
    if (hasEnded) return;
    hasEnded = true;
    onDidEnd(body);
  };
  response.on('data', (chunk: Buffer) => {
    readBytes += chunk.length;
    if (readBytes <= maximumBytes) chunks.add(chunk);
    else response.destroy();
  });
  response.on('end', () => end(response.complete ? chunks.join() : null));
  response.on('error', () => response.destroy());
  response.on('close', () => end(null));
};
