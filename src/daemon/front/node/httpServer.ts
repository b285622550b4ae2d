/**
 * HTTP server with one listening socket for the routes of callers, trainers and upstreams. Requests
 * that fail before they reach a route get typed errors too.
 */
import { createServer, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import type { Result } from 'neverthrow';
import type { Milliseconds } from '../../../base/common/time.js';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import { monotonicClock } from '../../../base/node/monotonicClock.js';
import { noopMetrics, type Metrics } from '../../../infrastructure/metrics/common/metrics.js';
import type { Limits } from '../../../infrastructure/settings/common/deployment.js';
import { listen, type ListenError } from '../../../infrastructure/sockets/node/listen.js';
import { createBodyMemory, type BodyMemory } from '../../../service/admission/common/bodyMemory.js';
import {
  createConnectionTable,
  type ConnectionTable,
} from '../../../service/admission/common/connectionTable.js';
import {
  createUnreadAnswers,
  type UnreadAnswers,
} from '../../../service/admission/common/unreadAnswers.js';
import {
  createRefusal,
  RefusalKind,
  type Refusal,
} from '../../../service/traffic/common/refusal.js';
import type { RouteEnvironment } from './decoding.js';
import { createConnectionGuard } from '../../connections/node/connectionGuard.js';
import {
  createErrorBody,
  createErrorResponse,
  createRetryHeaders,
  httpStatusOf,
} from './errorResponse.js';
import { isBodyRefusedError, readBodiesWithin, type BodyLimits } from './requestBody.js';
import { handleInSequence } from './requestSequence.js';

/** A listening HTTP server. */
export interface HttpServer extends AsyncDisposable {
  /** `host:port` on which the server listens. */
  readonly address: string;
  /** Adds `connection: close` to every further response. */
  readonly closeConnectionsAfterResponse: () => void;
  /** Sets how long a connection may be idle. */
  readonly setIdleTimeout: (duration: Milliseconds) => void;
  /** Refuses new connections and resolves when all running responses have ended. */
  readonly closeGracefully: () => Promise<void>;
}

/** Refusal kinds by parser error code of node:http; other codes map to `BodyInvalid`. */
const refusalKindByParseError: Readonly<Record<string, RefusalKind>> = {
  HPE_HEADER_OVERFLOW: RefusalKind.HeadersTooLarge,
};

const writeRefusal = (socket: Duplex, refusal: Refusal): void => {
  const body = JSON.stringify(createErrorBody(refusal));
  const retryHeaders = Object.entries(createRetryHeaders(refusal))
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('');
  socket.end(
    `HTTP/1.1 ${httpStatusOf(refusal)} Refused\r\nconnection: close\r\n${retryHeaders}` +
      `content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
};

/** Answers a connection for which there is no room, and closes it without waiting for its request. */
const refuseConnection = (socket: Socket): void => {
  socket.on('error', () => {});
  writeRefusal(socket, createRefusal(RefusalKind.TooManyConnections, true));
  socket.destroySoon();
};

/** Internal property of node:http that holds the response in progress on a connection. */
const currentResponseProperty = '_httpMessage';

/** Whether bytes of a response may already have been written to a connection. */
const hasResponseInProgress = (socket: Duplex): boolean =>
  Boolean((socket as unknown as Record<string, unknown>)[currentResponseProperty]);

/**
 * Answers bytes that are no request. While a response is in progress, the connection is reset
 * instead: the client would take an error for a part of that response.
 */
const handleClientError = (error: NodeJS.ErrnoException, socket: Duplex): void => {
  if (!socket.writable || hasResponseInProgress(socket)) {
    socket.destroy();
    return;
  }
  const kind = refusalKindByParseError[error.code ?? ''] ?? RefusalKind.BodyInvalid;
  writeRefusal(socket, createRefusal(kind, true));
};

/**
 * Time in which a request has to arrive in full: over twice the time that callers of the slowest
 * route allow for the answer.
 */
const requestTimeoutMilliseconds: Milliseconds = 30_000;

const timeoutCheckMilliseconds: Milliseconds = 5_000;

const createApplication = (
  bodyLimits: BodyLimits,
  routes: readonly Hono<RouteEnvironment>[],
  onDidFail: (error: Error) => void,
): Hono<RouteEnvironment> => {
  const application = new Hono<RouteEnvironment>();
  application.use(readBodiesWithin(bodyLimits));
  application.onError((error) => {
    if (isBodyRefusedError(error)) return createErrorResponse(error.refusal);
    onDidFail(error);
    return createErrorResponse(createRefusal(RefusalKind.InternalFault, false));
  });
  routes.forEach((route) => application.route('/', route));
  return application;
};

/** What the listeners of a process have in common. */
export interface SharedByListeners {
  readonly bodyMemory: BodyMemory;
  readonly connections: ConnectionTable;
  readonly unreadAnswers: UnreadAnswers;
  readonly metrics: Metrics;
}

/** Creates what the listeners of a process have in common. */
export const createSharedByListeners = (limits: Limits, metrics: Metrics): SharedByListeners => ({
  bodyMemory: createBodyMemory(limits.maximumReceivedBytes),
  connections: createConnectionTable(limits.maximumConnections),
  unreadAnswers: createUnreadAnswers(limits.maximumUnreadBytes),
  metrics,
});

/**
 * Opens the server on `address` (`host:port`; port 0 selects a free port). A process with several
 * servers passes what they share.
 */
export const openHttpServer = async (
  address: string,
  limits: Limits,
  routes: readonly Hono<RouteEnvironment>[],
  onDidFail: (error: Error) => void,
  shared: SharedByListeners = createSharedByListeners(limits, noopMetrics),
): Promise<Result<HttpServer, ListenError>> => {
  const bodyLimits = {
    maximumBytes: limits.maximumBodyBytes,
    maximumValues: limits.maximumBodyValues,
    memory: shared.bodyMemory,
    clock: monotonicClock,
    metrics: shared.metrics,
  };
  const application = createApplication(bodyLimits, routes, onDidFail);
  const guard = createConnectionGuard({
    table: shared.connections,
    clock: monotonicClock,
    metrics: shared.metrics,
    refuse: refuseConnection,
  });
  const server = createServer(
    {
      maxHeaderSize: limits.maximumHeaderBytes,
      headersTimeout: requestTimeoutMilliseconds,
      requestTimeout: requestTimeoutMilliseconds,
      connectionsCheckingInterval: timeoutCheckMilliseconds,
    },
    handleInSequence(getRequestListener(application.fetch), {
      unreadAnswers: shared.unreadAnswers,
      onDidChangeState: guard.recordState,
      onDidClose: () => shared.metrics.count('connections.closedAhead'),
      onDidGiveUpAnswer: () => shared.metrics.count('answers.givenUp'),
    }),
  );
  guard.attach(server);
  server.on('clientError', handleClientError);
  let shouldCloseConnections = false;
  server.prependListener('request', (_: IncomingMessage, response) => {
    if (shouldCloseConnections || !server.listening) response.setHeader('connection', 'close');
  });
  const listenResult = await listen(server, address);

  const closeServer = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
    });

  return listenResult.map((boundAddress) => ({
    address: boundAddress,
    closeConnectionsAfterResponse: () => {
      shouldCloseConnections = true;
    },
    setIdleTimeout: (duration) => {
      server.keepAliveTimeout = duration;
    },
    closeGracefully: () => {
      const closed = closeServer();
      server.closeIdleConnections();
      return closed;
    },
    dispose: () => {
      const closed = closeServer();
      server.closeAllConnections();
      return closed;
    },
  }));
};
