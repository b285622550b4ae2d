/**
 * Requests to upstreams by the runtime's own HTTP client, which needs less memory than undici's: its
 * parser is part of the runtime. One connection carries one request at a time.
 */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Disposable } from '../../../base/common/disposable.js';
import { splitAddress } from '../../../infrastructure/settings/common/address.js';
import type { Headers, RequestContent } from './upstreamDialect.js';

/** Where and how a request goes. */
export interface UpstreamRequest {
  readonly address: string;
  readonly content: RequestContent;
  readonly headers: Headers;
}

/** What happens to a request; exactly one of `onDidAnswer` and `onDidFail` is called first. */
export interface UpstreamListener {
  readonly onDidReceiveResponse: (response: IncomingMessage) => void;
  /** `isNotRun` is certain: no byte of the request was written. */
  readonly onDidFail: (reason: string, isNotRun: boolean) => void;
}

export interface UpstreamClient extends Disposable {
  /** Sends a request; disposing of the result cuts its connection. */
  readonly send: (target: UpstreamRequest, listener: UpstreamListener) => Disposable;
  /** Closes the idle connections to an address, which may have fallen silent like the one in use. */
  readonly closeIdleConnections: (address: string) => void;
}

/** Idle connections kept for each upstream; further ones are closed after their answer. */
const maximumIdleConnections = 8;

/** Failures of a connection in which no byte of the request was written. */
const connectFailureCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

const errorCodeOf = (error: Error): string =>
  'code' in error && typeof error.code === 'string' ? error.code : 'unknown';

/** Creates the client of a process. */
export const createUpstreamClient = (): UpstreamClient => {
  const agent = new Agent({
    keepAlive: true,
    maxFreeSockets: maximumIdleConnections,
    scheduling: 'lifo',
  });

  const createRequest = ({ address, content, headers }: UpstreamRequest): ClientRequest => {
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
  };

  return {
    send: (target, listener) => {
      const outgoing = createRequest(target);
      let isClosed = false;
      outgoing.once('response', (response) => {
        if (isClosed) response.destroy();
        else listener.onDidReceiveResponse(response);
      });
      outgoing.once('error', (error) => {
        if (isClosed) return;
        isClosed = true;
        const code = errorCodeOf(error);
        listener.onDidFail(code, connectFailureCodes.has(code));
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

/** Header lines of an answer by their name in lower case; repeated ones are joined. */
export const readHeaders = (response: IncomingMessage): Record<string, string> =>
  Object.fromEntries(
    Object.entries(response.headersDistinct).map(([name, values]) => [
      name,
      (values ?? []).join(', '),
    ]),
  );
