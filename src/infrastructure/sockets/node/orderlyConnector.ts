/**
 * Opens the connections of undici agents whose responses may end with their connection. undici takes
 * `ECONNRESET` for the end of such a response, so a reset is reported to it under another code.
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

/** Creates the function with which an agent connects, for at most `timeout` milliseconds. */
export const createOrderlyConnector = (timeout: Milliseconds): buildConnector.connector => {
  const connect = buildConnector({ timeout });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error === null) callback(null, reportResetAsFailure(requireOrderlyEnd(socket)));
      else callback(error, null);
    });
};
