/**
 * The HTTP server of a stand-in: serves a hono application on loopback and gives handlers access to
 * the sockets, so that faults can cut connections.
 */
import type { AddressInfo } from 'node:net';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { Hono } from 'hono';

/** The hono environment of the handlers of a stand-in. */
export interface StandInEnvironment {
  Bindings: HttpBindings;
}

/** A listening HTTP server. */
export interface HttpListener {
  /** Base address, such as `http://127.0.0.1:9000`. */
  readonly address: string;
  /** Stops listening and closes every connection. */
  readonly dispose: () => Promise<void>;
}

const loopbackAddress = '127.0.0.1';

/** The return value of a handler that wrote to the socket directly or cut the connection. */
export const answeredOnSocket = RESPONSE_ALREADY_SENT;

/** The return type of such a handler. */
export type HttpAnswer = typeof RESPONSE_ALREADY_SENT;

/** Cuts the connection of a request without sending an answer. */
export const cutConnection = (bindings: HttpBindings): HttpAnswer => {
  bindings.incoming.socket.destroy();
  return answeredOnSocket;
};

/** Starts listening on loopback; port 0 selects a free port. */
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
