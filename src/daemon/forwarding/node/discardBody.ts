/**
 * Discards the body of a response of which only the head counts, so that its connection can be used
 * again. A body that may have no end is not read to it: the connection is closed instead.
 */
import type { IncomingMessage } from 'node:http';

/** Bodies that are discarded state an error or nothing; beyond it a new connection costs less. */
const maximumDiscardedBytes = 64 * 1024;

/** Reads and drops the body of a response. */
export const discardBody = (response: IncomingMessage): void => {
  let discardedBytes = 0;
  response.on('error', () => response.destroy());
  response.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > maximumDiscardedBytes) response.destroy();
  });
};
