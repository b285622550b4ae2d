/**
 * Opens the connections of undici agents whose responses may end with their connection. undici takes
 * `ECONNRESET` for the end of such a response, so a reset is reported to it under another code; and it
 * ends the process if a connection ends while it does not read, so the end waits until it does.
 */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import type { Milliseconds } from '../../../base/common/time.js';
import { connectionResetCode, requireOrderlyEnd } from './orderlyEnd.js';

/** Code with which undici reports that a connection failed. */
const failedConnectionCode = 'UND_ERR_SOCKET';

/** Listeners run in the order in which they were added, and undici adds its own later. */
const reportResetAsFailure = (socket: Socket): Socket =>
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === connectionResetCode) Object.assign(error, { code: failedConnectionCode });
  });

/** Withholds the end of a connection until undici reads on, which it does once its response is read. */
const withholdEnd = (socket: Socket): Socket => {
  const push = socket.push.bind(socket);
  const read = socket.read.bind(socket);
  let isWithheld = false;
  const pushOrWithhold: Socket['push'] = (chunk, encoding) => {
    if (chunk !== null) return push(chunk, encoding);
    isWithheld = true;
    // A reader that waits for bytes reads once more.
    socket.emit('readable');
    return false;
  };
  const readOrEnd: Socket['read'] = (size) => {
    const chunk: unknown = read(size);
    // The runtime itself reads 0 bytes to start the stream.
    if (chunk !== null || size === 0 || !isWithheld) return chunk;
    isWithheld = false;
    push(null);
    return null;
  };
  return Object.assign(socket, { push: pushOrWithhold, read: readOrEnd });
};

/** Creates the function with which an agent connects, for at most `timeout` milliseconds. */
export const createOrderlyConnector = (timeout: Milliseconds): buildConnector.connector => {
  const connect = buildConnector({ timeout });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error === null)
        callback(null, reportResetAsFailure(requireOrderlyEnd(withholdEnd(socket))));
      else callback(error, null);
    });
};
