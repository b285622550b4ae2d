/**
 * HTTP client for requests to upstreams. It uses node:http instead of undici because the parser of
 * node:http is part of the runtime and needs less memory. A connection carries one request at a
 * time.
 */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http';
import { Result } from 'neverthrow';
import { createDisposable, type Disposable } from '../../../base/common/disposable.js';
import { splitAddress } from '../../../infrastructure/settings/common/address.js';
import type { Headers, RequestContent } from './upstreamDialect.js';

/** Address, content and additional headers of a request. */
export interface UpstreamRequest {
  readonly address: string;
  readonly content: RequestContent;
  readonly headers: Headers;
}

/** Callbacks of a request; either `onDidReceiveResponse` or `onDidFail` is called first. */
export interface UpstreamListener {
  readonly onDidReceiveResponse: (response: IncomingMessage) => void;
  /** `isNotRun` is true only if no byte of the request was written. */
  readonly onDidFail: (reason: string, isNotRun: boolean) => void;
}

/** Sends requests to upstreams over pooled connections. */
export interface UpstreamClient extends Disposable {
  /** Sends a request; disposing of the result closes its connection. */
  readonly send: (target: UpstreamRequest, listener: UpstreamListener) => Disposable;
  /** Closes the idle connections to an address, which may be as unresponsive as the one in use. */
  readonly closeIdleConnections: (address: string) => void;
}

/** Idle connections kept per upstream; surplus connections are closed after their response. */
const maximumIdleConnections = 8;

/** Responses before the final one, such as 103, that a request may get; a browser expects one. */
const maximumInterimResponses = 16;

/** Connection error codes that imply that no byte of the request was written. */
const connectFailureCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

const errorCodeOf = (error: unknown): string =>
  error instanceof Error && 'code' in error && typeof error.code === 'string'
    ? error.code
    : 'unknown';

/** Reports a request that could not be written at all, after `send` has returned. */
const failUnsendable = (reason: string, listener: UpstreamListener): Disposable => {
  const immediate = setImmediate(() => listener.onDidFail(reason, true));
  return createDisposable(() => clearImmediate(immediate));
};

/** Creates the upstream client of a process. */
export const createUpstreamClient = (): UpstreamClient => {
  const agent = new Agent({
    keepAlive: true,
    maxFreeSockets: maximumIdleConnections,
    scheduling: 'lifo',
  });

  /** The error is the code with which node:http rejects an address, a path or a header. */
  const createRequest = Result.fromThrowable(
    ({ address, content, headers }: UpstreamRequest): ClientRequest => {
      const { host, port } = splitAddress(address);
      const { method, path, body } = content;
      const length = body === null ? {} : { 'content-length': String(body.length) };
      return request({
        agent,
        host,
        port,
        method,
        path,
        headers: { ...content.headers, ...length, ...headers },
      });
    },
    errorCodeOf,
  );

  return {
    send: (target, listener) => {
      const created = createRequest(target);
      if (created.isErr()) return failUnsendable(created.error, listener);
      const outgoing = created.value;
      let isClosed = false;
      let hasResponse = false;
      outgoing.once('response', (response) => {
        hasResponse = true;
        if (isClosed) response.destroy();
        else listener.onDidReceiveResponse(response);
      });
      const fail = (reason: string, isNotRun: boolean): void => {
        if (isClosed) return;
        isClosed = true;
        listener.onDidFail(reason, isNotRun);
      };
      outgoing.once('error', (error) => {
        const code = errorCodeOf(error);
        fail(code, connectFailureCodes.has(code));
      });
      // A response with status 101 ends the request with neither a response nor an error.
      outgoing.once('close', () => {
        if (!hasResponse) fail('closed without a response', false);
      });
      let interimResponses = 0;
      outgoing.on('information', () => {
        interimResponses += 1;
        if (interimResponses <= maximumInterimResponses) return;
        fail('too many interim responses', false);
        outgoing.destroy();
      });
      outgoing.end(target.content.body ?? undefined);
      return {
        dispose: () => {
          isClosed = true;
          outgoing.destroy();
        },
      };
    },
    closeIdleConnections: (address) => {
      const { host, port } = splitAddress(address);
      const idleSockets = agent.freeSockets[agent.getName({ host, port })] ?? [];
      idleSockets.forEach((socket) => socket.destroy());
    },
    dispose: () => agent.destroy(),
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
