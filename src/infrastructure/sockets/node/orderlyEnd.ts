/**
 * Tells an orderly end of a connection from a reset. The runtime reports a reset that is read together
 * with the last bytes as an end, so a response without a length that was cut would look complete. A
 * socket from here ends only if its peer has ended it in order, and fails otherwise.
 */
import type { Socket } from 'node:net';

/** Code of the error with which the connection was reset by the peer. */
export const connectionResetCode = 'ECONNRESET';

/** Returns the error that the runtime reports where it sees the reset itself. */
const createResetError = (): Error =>
  Object.assign(new Error(`read ${connectionResetCode}`), { code: connectionResetCode });

/**
 * Makes a socket that has not been read yet fail with `connectionResetCode` where the runtime would
 * report the reset of its connection as an end. Returns the same socket. Its `remoteAddress` must not
 * be read before the end, because the runtime keeps the value.
 */
export const requireOrderlyEnd = (socket: Socket): Socket => {
  const push = socket.push.bind(socket);
  /** The system knows the peer of a connection until it is reset, or both sides have ended it. */
  const isReset = (): boolean => !socket.writableEnded && socket.remoteAddress === undefined;
  const pushOrFail: Socket['push'] = (chunk, encoding) => {
    if (chunk !== null || !isReset()) return push(chunk, encoding);
    socket.destroy(createResetError());
    return false;
  };
  return Object.assign(socket, { push: pushOrFail });
};
