/**
 * Request and response bytes of the requests that run on this daemon. Tables hold only metadata;
 * ports look up the bytes here by request identifier.
 */
import type { Refusal } from '../../../service/traffic/common/refusal.js';
import type { AttemptId, RequestId } from '../../../service/world/common/identifiers.js';

/**
 * A request as it is sent to an upstream. Headers are restricted to the allow list and never
 * contain a key.
 */
export interface RequestContent {
  readonly method: string;
  /** Path and query, as sent to the upstream. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | null;
}

/** Receives the response of an upstream. */
export interface ResponseSink {
  /**
   * Passes on the status and headers; called at most once, before `write`. If the response is not
   * delimited, its end proves nothing, so it must not be passed on with an end of ours.
   */
  readonly writeHead: (
    status: number,
    headers: Readonly<Record<string, string>>,
    isDelimited: boolean,
  ) => void;
  readonly write: (chunk: Uint8Array) => void;
  /** Resolves when the sink accepts more bytes; immediately if its buffer is not full. */
  readonly waitForDrain: () => Promise<void>;
}

/** Request content and response sinks of one request. */
export interface Exchange {
  readonly content: RequestContent;
  /** Returns the sink for the response of one attempt. */
  readonly openSink: (attempt: AttemptId) => ResponseSink;
  /** Ends the request; `refusal` is null if the response is complete. */
  readonly close: (refusal: Refusal | null) => void;
}

/** Exchanges of the requests that run on this daemon, by request identifier. */
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
