/**
 * The listening socket of a stand-in: serves a hono application on loopback and gives handlers the raw
 * sockets, so that faults can cut connections.
 */
import type { AddressInfo } from 'node:net';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { Hono } from 'hono';

/** What hono passes to the handlers of a stand-in. */
export interface StandInEnvironment {
  Bindings: HttpBindings;
}

/** A listening stand-in. */
export interface HttpListener {
  /** Base address, such as `http://127.0.0.1:9000`. */
  readonly address: string;
  /** Cuts every connection and stops listening. */
  readonly dispose: () => Promise<void>;
}

const loopbackAddress = '127.0.0.1';

/** Answer of a handler that has written to the socket, or cut it, by itself. */
export const answeredOnSocket = RESPONSE_ALREADY_SENT;

/** What a handler gives back to hono. */
export type HttpAnswer = typeof RESPONSE_ALREADY_SENT;

/** Cuts the connection of a request without an answer. */
export const cutConnection = (bindings: HttpBindings): HttpAnswer => {
  bindings.incoming.socket.destroy();
  return answeredOnSocket;
};

/** Starts to listen; port 0 takes any free port. */
export const listen = async (
  application: Hono<StandInEnvironment>,
  port: number,
): Promise<HttpListener> => {
  const server = createAdaptorServer({ fetch: application.fetch });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, loopbackAddress, resolve);
  });
  const { port: actualPort } = server.address() as AddressInfo;
  let disposal: Promise<void> | undefined;
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      if ('closeAllConnections' in server) server.closeAllConnections();
    });
  return {
    address: `http://${loopbackAddress}:${actualPort}`,
    dispose: () => {
      disposal ??= close();
      return disposal;
    },
  };
};
