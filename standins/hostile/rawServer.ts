/**
 * A server on raw sockets: a script writes the bytes of each answer, so a test can send an answer
 * twice, late, cut or without length. Requests may have a length; chunked requests are not read.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import type { AsyncDisposable } from '../../src/base/common/disposable.js';

/** A request as it was received. */
export interface RawRequest {
  readonly method: string;
  readonly path: string;
  /** Headers by lower-case name. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Number of the connection that carried it, from 0. */
  readonly connection: number;
  /** Number of the request on its connection, from 0. */
  readonly position: number;
}

/** Writes the answer to a request. */
export type AnswerRequest = (request: RawRequest, socket: Socket) => void;

/** A running server. */
export interface RawServer extends AsyncDisposable {
  /** `host:port` on which the server listens. */
  readonly address: string;
  /** All requests in order of arrival. */
  readonly requests: readonly RawRequest[];
  readonly openConnections: () => number;
}

const headEnd = '\r\n\r\n';

const parseHeaders = (lines: readonly string[]): Record<string, string> =>
  Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );

type ParsedRequest = Omit<RawRequest, 'connection' | 'position'>;

/** Takes the first whole request from `text`; undefined if it is not whole yet. */
const takeRequest = (
  text: string,
): { readonly request: ParsedRequest; readonly rest: string } | undefined => {
  const bodyStart = text.indexOf(headEnd) + headEnd.length;
  if (bodyStart < headEnd.length) return undefined;
  const [requestLine = '', ...lines] = text.slice(0, bodyStart - headEnd.length).split('\r\n');
  const [method = '', path = ''] = requestLine.split(' ');
  const headers = parseHeaders(lines);
  const bodyEnd = bodyStart + Number(headers['content-length'] ?? 0);
  if (text.length < bodyEnd) return undefined;
  const request = { method, path, headers, body: text.slice(bodyStart, bodyEnd) };
  return { request, rest: text.slice(bodyEnd) };
};

/** Starts a server on a free port of the loopback interface. */
export const startRawServer = async (answer: AnswerRequest): Promise<RawServer> => {
  const sockets = new Set<Socket>();
  const requests: RawRequest[] = [];
  let connections = 0;

  const handleSocket = (socket: Socket): void => {
    const connection = connections;
    connections += 1;
    let position = 0;
    let text = '';
    sockets.add(socket);
    socket.setNoDelay();
    // Clients end connections by a reset where an answer was not theirs.
    socket.on('error', () => sockets.delete(socket));
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      for (let taken = takeRequest(text); taken !== undefined; taken = takeRequest(text)) {
        text = taken.rest;
        const request = { ...taken.request, connection, position };
        position += 1;
        requests.push(request);
        answer(request, socket);
      }
    });
  };

  const server = createServer(handleSocket);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    requests,
    openConnections: () => sockets.size,
    dispose: () =>
      new Promise((resolve) => {
        sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      }),
  };
};
