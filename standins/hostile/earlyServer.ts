/**
 * A server on raw sockets that answers a request whose body it has not read: it reads the head, and
 * answers when the body has filled the buffers between. Requests without a body are answered too.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import type { AsyncDisposable } from '../../src/base/common/disposable.js';

/** Answers a request of which only the head and the first bytes of the body have been read. */
export type AnswerEarly = (head: string, socket: Socket) => void;

/** A running server. */
export interface EarlyServer extends AsyncDisposable {
  /** `host:port` on which the server listens. */
  readonly address: string;
  /** Number of requests that were answered. */
  readonly answered: () => number;
}

/** Time in which a client fills the buffers of a connection over the loopback interface. */
const fillMilliseconds = 50;

/** Starts the server on a free port of the loopback interface. */
export const startEarlyServer = async (answer: AnswerEarly): Promise<EarlyServer> => {
  const sockets = new Set<Socket>();
  let answered = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    // Clients reset connections whose answer they give up.
    socket.on('error', () => {});
    socket.once('data', (bytes) => {
      socket.pause();
      const head = bytes.toString('latin1').split('\r\n\r\n', 1)[0]!;
      setTimeout(() => {
        answered += 1;
        answer(head, socket);
      }, fillMilliseconds);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    answered: () => answered,
    dispose: () =>
      new Promise((resolve) => {
        sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      }),
  };
};
