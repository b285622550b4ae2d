/**
 * A server that answers with bytes that are no answer, or with no end of one, until the client
 * closes the connection.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import type { AsyncDisposable } from '../../src/base/common/disposable.js';
import type { ValueOf } from '../../src/base/common/handlers.js';

/** What the server sends. */
export const HostileAnswer = {
  EndlessHead: 'endlessHead',
  EndlessInterim: 'endlessInterim',
  EndlessBody: 'endlessBody',
  EndlessChunks: 'endlessChunks',
  EndlessEvent: 'endlessEvent',
  EndlessComments: 'endlessComments',
  Noise: 'noise',
} as const;
export type HostileAnswer = ValueOf<typeof HostileAnswer>;

interface Script {
  readonly start: (identity: readonly string[]) => string;
  /** Sent repeatedly. */
  readonly repeated: string;
}

/** Interval between two writes of the repeated part. */
const writeIntervalMilliseconds = 2;

const filler = 'x'.repeat(16 * 1024);
const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const headOf = (identity: readonly string[], ...lines: readonly string[]): string =>
  ['HTTP/1.1 200 OK', ...identity, ...lines, '', ''].join('\r\n');

const scripts: Readonly<Record<HostileAnswer, Script>> = {
  endlessHead: {
    start: () => 'HTTP/1.1 200 OK\r\n',
    repeated: `x-filler: ${'y'.repeat(1_000)}\r\n`,
  },
  endlessInterim: { start: () => '', repeated: 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n' },
  endlessBody: { start: (identity) => headOf(identity, 'connection: close'), repeated: filler },
  endlessChunks: {
    start: (identity) => headOf(identity, 'transfer-encoding: chunked'),
    repeated: chunkOf(filler),
  },
  endlessEvent: {
    start: (identity) =>
      headOf(identity, 'content-type: text/event-stream', 'transfer-encoding: chunked') +
      chunkOf('data: '),
    repeated: chunkOf(filler),
  },
  endlessComments: {
    start: (identity) =>
      headOf(identity, 'content-type: text/event-stream', 'transfer-encoding: chunked'),
    repeated: chunkOf(': still here\n\n'),
  },
  noise: { start: () => '', repeated: '\u0000\u0001 no answer \r\n' },
};

/** A running hostile server. */
export interface HostileServer extends AsyncDisposable {
  /** `host:port` on which the server listens. */
  readonly address: string;
  /** Connections that the client has not closed. */
  readonly openConnections: () => number;
}

/** Returns the head lines that make a response count as the answer to a request. */
export type CreateIdentity = (request: string) => readonly string[];

const answerWithoutEnd = (
  socket: Socket,
  { start, repeated }: Script,
  identity: readonly string[],
): void => {
  socket.write(start(identity));
  const timer = setInterval(() => {
    if (socket.writable && !socket.writableNeedDrain) socket.write(repeated);
  }, writeIntervalMilliseconds);
  socket.once('close', () => clearInterval(timer));
};

/** Starts the server on a free port of the loopback interface. */
export const startHostileServer = async (
  answer: HostileAnswer,
  createIdentity: CreateIdentity = () => [],
): Promise<HostileServer> => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    // The client ends the connection by a reset, which is the expected end.
    socket.on('error', () => sockets.delete(socket));
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', (bytes) =>
      answerWithoutEnd(socket, scripts[answer], createIdentity(bytes.toString())),
    );
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    openConnections: () => sockets.size,
    dispose: () =>
      new Promise((resolve) => {
        sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      }),
  };
};
