/**
 * The bytes of requests and answers while they run. Tables hold facts only; ports find the bytes of a
 * request here, by its identifier.
 */
import type { Refusal } from '../../../service/traffic/common/refusal.js';
import type { AttemptId, RequestId } from '../../../service/world/common/identifiers.js';

/** What is sent to an upstream. Headers are those of the allow list and never carry a key. */
export interface RequestContent {
  readonly method: string;
  /** Path with query, as the upstream gets it. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | null;
}

/** Where the bytes of an answer go. */
export interface ResponseSink {
  /** The head of the answer has come; called at most once. */
  readonly writeHead: (status: number, headers: Readonly<Record<string, string>>) => void;
  readonly write: (chunk: Uint8Array) => void;
  /** Resolves when the sink takes more bytes; at once where it is not full. */
  readonly waitForDrain: () => Promise<void>;
}

/** The bytes of one request. */
export interface Exchange {
  readonly content: RequestContent;
  /** The sink for the answer of one attempt. */
  readonly openSink: (attempt: AttemptId) => ResponseSink;
  /** The request has ended: the answer is whole, or `refusal` says why it is not. */
  readonly close: (refusal: Refusal | null) => void;
}

/** The exchanges of the requests that run on this daemon. */
export interface ExchangeRegistry {
  readonly add: (request: RequestId, exchange: Exchange) => void;
  readonly get: (request: RequestId) => Exchange | undefined;
  readonly take: (request: RequestId) => Exchange | undefined;
  readonly size: () => number;
}

/** Creates an empty registry. */
export const createExchangeRegistry = (): ExchangeRegistry => {
  const exchanges = new Map<RequestId, Exchange>();
  return {
    add: (request, exchange) => {
      exchanges.set(request, exchange);
    },
    get: (request) => exchanges.get(request),
    take: (request) => {
      const exchange = exchanges.get(request);
      exchanges.delete(request);
      return exchange;
    },
    size: () => exchanges.size,
  };
};
