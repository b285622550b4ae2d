/**
 * How the peer of a connection has ended it.
 */
import type { Socket } from 'node:net';

/** Reads the connection to its end; resolves to its error code, or to `end` without an error. */
export const endOf = ([socket]: readonly Socket[]): Promise<string> =>
  new Promise((resolve) => {
    socket!.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
    socket!.on('end', () => resolve('end'));
    socket!.resume();
  });
