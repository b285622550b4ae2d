/**
 * A server on sockets whose process seems to end under requests with one path and body: it destroys
 * all its connections and its listener, and starts again at the same address after a while. It can
 * also misbehave under such a request and live on.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { AsyncDisposable } from '../../src/base/common/disposable.js';
import type { ValueOf } from '../../src/base/common/handlers.js';
import type { Milliseconds } from '../../src/base/common/time.js';

/** What the server does under the request. */
export const CrashingBehavior = {
  /** It ends, and starts again later. */
  End: 'end',
  /** It cuts the answer in the middle and lives on. */
  CutAnswer: 'cutAnswer',
  /** It answers more bytes than the client takes, and lives on. */
  OversizedAnswer: 'oversizedAnswer',
} as const;
export type CrashingBehavior = ValueOf<typeof CrashingBehavior>;

export interface CrashingSettings {
  readonly behavior: CrashingBehavior;
  /** Body of the requests under which it misbehaves. */
  readonly poisonBody: string;
  /** Time from its end to its next start. */
  readonly returnMilliseconds: Milliseconds;
  /** Size of an oversized answer. */
  readonly oversizedBytes: number;
  /** Returns the headers that make a response count as the answer to a request. */
  readonly createIdentity: (request: IncomingMessage) => Readonly<Record<string, string>>;
  /** Called at each start with the number of the start, from 1. */
  readonly onDidStart: (address: string, start: number) => void;
}

/** A running server. */
export interface CrashingServer extends AsyncDisposable {
  /** `host:port` on which the server listens, also after its next start. */
  readonly address: string;
  /** Number of requests with the poison body that it began to run. */
  readonly poisonRuns: () => number;
}

const host = '127.0.0.1';

const readBody = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
};

/** Starts the server on a free port of the loopback interface. */
export const startCrashingServer = async (settings: CrashingSettings): Promise<CrashingServer> => {
  const sockets = new Set<Socket>();
  let server: Server;
  let port = 0;
  let starts = 0;
  let poisonRuns = 0;
  let restart: NodeJS.Timeout | undefined;

  const restartLater = (): void => {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
    restart = setTimeout(start, settings.returnMilliseconds);
  };

  const end = (): void => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
    restartLater();
  };

  const behaviorHandlers: Readonly<Record<CrashingBehavior, (response: ServerResponse) => void>> = {
    end,
    cutAnswer: (response) => {
      response.write('begun', () => response.destroy());
    },
    oversizedAnswer: (response) => {
      response.end(Buffer.alloc(settings.oversizedBytes));
    },
  };

  const handleRequest = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const body = await readBody(request);
    response.writeHead(200, settings.createIdentity(request));
    if (body !== settings.poisonBody) {
      response.end('done');
      return;
    }
    poisonRuns += 1;
    behaviorHandlers[settings.behavior](response);
  };

  const start = async (): Promise<void> => {
    server = createServer(handleRequest);
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    });
    // Another process may have taken the port meanwhile.
    server.on('error', restartLater);
    await new Promise<void>((resolve) => {
      server.listen(port, host, resolve);
    });
    ({ port } = server.address() as AddressInfo);
    starts += 1;
    settings.onDidStart(`${host}:${port}`, starts);
  };

  await start();
  return {
    address: `${host}:${port}`,
    poisonRuns: () => poisonRuns,
    dispose: () =>
      new Promise((resolve) => {
        clearTimeout(restart);
        server.close(() => resolve());
        sockets.forEach((socket) => socket.destroy());
      }),
  };
};
