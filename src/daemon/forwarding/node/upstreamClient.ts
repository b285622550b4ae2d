/**
 * HTTP client for requests to upstreams. It uses node:http instead of undici because the parser of
 * node:http is part of the runtime and needs less memory. A connection carries one request at a
 * time, and no request identifier twice, because the copy of an earlier response would name the
 * repeated request too.
 */
import {
  Agent,
  request,
  type AgentOptions,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import { connect, type NetConnectOpts, type Socket } from 'node:net';
import { Result } from 'neverthrow';
import { createDisposable, type Disposable } from '../../../base/common/disposable.js';
import { splitAddress } from '../../../infrastructure/settings/common/address.js';
import { requireOrderlyEnd } from '../../../infrastructure/sockets/node/orderlyEnd.js';
import { connectionRefusedCode } from '../../quarantine/node/addressProbePort.js';
import type { Headers, RequestContent } from './upstreamDialect.js';

/** Address, content and additional headers of a request. */
export interface UpstreamRequest {
  readonly address: string;
  readonly content: RequestContent;
  readonly headers: Headers;
  /** Identifier that the response names; null gives the request a connection of its own. */
  readonly requestId: string | null;
  /**
   * Asked once the connection is established, right before the first byte is written. If it returns
   * false, the request fails and has not run.
   */
  readonly isAllowed?: () => boolean;
}

/** A request that was sent. */
export interface SentRequest extends Disposable {
  /**
   * Resets the connection, which discards the bytes that its peer has not received. After `dispose`
   * the kernel goes on to deliver them.
   */
  readonly reset: () => void;
}

/** Callbacks of a request; one of them is called, once. A response that breaks emits `error`. */
export interface UpstreamListener {
  /** The request is written: to the connection, or to the buffer of one that is being established. */
  readonly onDidWrite?: () => void;
  readonly onDidReceiveResponse: (response: IncomingMessage) => void;
  /** `isNotRun` is true only if no byte of the request was written. */
  readonly onDidFail: (reason: string, isNotRun: boolean) => void;
}

/** Sends requests to upstreams over pooled connections. */
export interface UpstreamClient extends Disposable {
  /** Sends a request; disposing of the result closes its connection. */
  readonly send: (target: UpstreamRequest, listener: UpstreamListener) => SentRequest;
  /** Closes the idle connections to an address, which may be as unresponsive as the one in use. */
  readonly closeIdleConnections: (address: string) => void;
}

/** Idle connections kept per upstream; surplus connections are closed after their response. */
const maximumIdleConnections = 8;

/**
 * Number of the newest request identifiers that are remembered of a connection. The copy of an older
 * response arrives during one of so many later requests, which closes the connection.
 */
const maximumCarriedIdentifiers = 128;

/** Responses before the final one, such as 103, that a request may get; a browser expects one. */
const maximumInterimResponses = 16;

/** Connection error codes that imply that no byte of the request was written. */
const connectFailureCodes = new Set([connectionRefusedCode, 'EHOSTUNREACH', 'ENETUNREACH']);

const minimumFinalStatus = 200;
const maximumFinalStatus = 599;

/** Whether a status can end a request; others are of interim responses, or of none. */
export const isFinalStatus = (status = 0): boolean =>
  status >= minimumFinalStatus && status <= maximumFinalStatus;

const errorCodeOf = (error: unknown): string =>
  error instanceof Error && 'code' in error && typeof error.code === 'string'
    ? error.code
    : 'unknown';

/** Runs an action once a connection is established. */
const whenConnected = (socket: Socket, action: () => void): void => {
  if (socket.connecting) socket.once('connect', action);
  else action();
};

/** Reports a request that could not be written at all, after `send` has returned. */
const failUnsendable = (reason: string, listener: UpstreamListener): SentRequest => {
  const immediate = setImmediate(() => listener.onDidFail(reason, true));
  const { dispose } = createDisposable(() => clearImmediate(immediate));
  return { dispose, reset: dispose };
};

/** Resets an established connection; one that is being established is closed without a byte. */
const resetConnection = (outgoing: ClientRequest): void => {
  const { socket } = outgoing;
  if (socket?.connecting === false && !socket.destroyed) socket.resetAndDestroy();
  outgoing.destroy();
};

/** The end of a connection may be the end of a response, so a reset must not pass for one. */
const createAgent = (options: AgentOptions): Agent =>
  Object.assign(new Agent(options), {
    createConnection: (connectOptions: NetConnectOpts) =>
      requireOrderlyEnd(connect(connectOptions)),
  });

/** Creates the upstream client of a process. */
export const createUpstreamClient = (): UpstreamClient => {
  const agent = createAgent({
    keepAlive: true,
    maxFreeSockets: maximumIdleConnections,
    scheduling: 'lifo',
  });

  /** Opens a connection for each request and closes it after the response. */
  const singleUseAgent = createAgent({ keepAlive: false });
  const carriedBySocket = new WeakMap<Socket, Set<string>>();

  const rememberCarried = (socket: Socket, requestId: string): void => {
    const carried = carriedBySocket.get(socket) ?? new Set();
    carriedBySocket.set(socket, carried.add(requestId));
    const [oldest] = carried;
    if (carried.size > maximumCarriedIdentifiers && oldest !== undefined) carried.delete(oldest);
  };

  const freeSocketsOf = (address: string): readonly Socket[] => {
    const { host, port } = splitAddress(address);
    return agent.freeSockets[agent.getName({ host, port })] ?? [];
  };

  const selectAgent = ({ address, requestId }: UpstreamRequest): Agent => {
    if (requestId === null) return singleUseAgent;
    const isRepeated = freeSocketsOf(address).some((socket) =>
      carriedBySocket.get(socket)?.has(requestId),
    );
    return isRepeated ? singleUseAgent : agent;
  };

  /** The error is the code with which node:http rejects an address, a path or a header. */
  const createRequest = Result.fromThrowable((target: UpstreamRequest): ClientRequest => {
    const { address, content, headers } = target;
    const { host, port } = splitAddress(address);
    const { method, path, body } = content;
    const length = body === null ? {} : { 'content-length': String(body.length) };
    return request({
      agent: selectAgent(target),
      host,
      port,
      method,
      path,
      headers: { ...content.headers, ...length, ...headers },
    });
  }, errorCodeOf);

  return {
    send: (target, listener) => {
      const created = createRequest(target);
      if (created.isErr()) return failUnsendable(created.error, listener);
      const outgoing = created.value;
      let isClosed = false;
      outgoing.once('socket', (socket) => {
        if (target.requestId !== null) rememberCarried(socket, target.requestId);
      });
      const fail = (reason: string, isNotRun: boolean): void => {
        if (isClosed) return;
        isClosed = true;
        listener.onDidFail(reason, isNotRun);
      };
      let received: IncomingMessage | undefined;
      outgoing.once('response', (response) => {
        received = response;
        if (!isClosed && isFinalStatus(response.statusCode)) {
          listener.onDidReceiveResponse(response);
          return;
        }
        response.destroy();
        fail(`status ${response.statusCode} is no final status`, false);
      });
      // Without this listener the request would only end at its deadline.
      outgoing.once('upgrade', (_response, socket) => {
        socket.destroy();
        fail('upgrade that was not requested', false);
      });
      // A connection may report several errors; one without a listener ends the process.
      outgoing.on('error', (error) => {
        // After the head it is the response that breaks; node:http would end one without a length.
        if (received !== undefined) {
          received.destroy(error);
          return;
        }
        const code = errorCodeOf(error);
        fail(code, connectFailureCodes.has(code));
      });
      // A connection may end with neither a response nor an error.
      outgoing.once('close', () => {
        if (received === undefined) fail('closed without a response', false);
      });
      let interimResponses = 0;
      outgoing.on('information', () => {
        interimResponses += 1;
        if (interimResponses <= maximumInterimResponses) return;
        fail('too many interim responses', false);
        outgoing.destroy();
      });
      const write = (): void => {
        if (isClosed) return;
        if (target.isAllowed?.() === false) {
          fail('no longer allowed', true);
          outgoing.destroy();
          return;
        }
        listener.onDidWrite?.();
        outgoing.end(target.content.body ?? undefined);
      };
      // Without a condition the head and the body are buffered until the connection is established.
      if (target.isAllowed === undefined) write();
      else outgoing.once('socket', (socket) => whenConnected(socket, write));
      return {
        dispose: () => {
          isClosed = true;
          outgoing.destroy();
        },
        reset: () => {
          isClosed = true;
          resetConnection(outgoing);
        },
      };
    },
    closeIdleConnections: (address) => {
      freeSocketsOf(address).forEach((socket) => socket.destroy());
    },
    dispose: () => {
      agent.destroy();
      singleUseAgent.destroy();
    },
  };
};

/**
 * Response headers by lower-case name; repeated headers are joined with commas. They are read from
 * `rawHeaders`, because the other views of node:http throw for names such as `constructor`.
 */
export const readHeaders = ({
  rawHeaders,
}: Pick<IncomingMessage, 'rawHeaders'>): Record<string, string> => {
  const valuesByName = new Map<string, string>();
  for (let position = 0; position + 1 < rawHeaders.length; position += 2) {
    const name = rawHeaders[position]!.toLowerCase();
    const value = rawHeaders[position + 1]!;
    const previous = valuesByName.get(name);
    valuesByName.set(name, previous === undefined ? value : `${previous}, ${value}`);
  }
  return Object.fromEntries(valuesByName);
};

/** Statuses of responses that have no body, whatever their headers say. */
const statusesWithoutBody: readonly number[] = [204, 304];

/** Only chunks, as the last coding, mark an end; with another one the connection's end does. */
const chunkedPattern = /(?:^|,)\s*chunked\s*$/i;

/** Whether a response marks the end of its body, by a length, by chunks, or by having none. */
export const isDelimitedResponse = ({
  status,
  headers,
}: {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
}): boolean =>
  headers['content-length'] !== undefined ||
  chunkedPattern.test(String(headers['transfer-encoding'] ?? '')) ||
  statusesWithoutBody.includes(status);
