/**
 * Exchange of a caller's request: the upstream response is streamed to the caller, and a refusal
 * before the first byte becomes an error response. Response bytes are buffered in the stream until
 * the caller reads them. A response that is not delimited is written to the caller's connection and
 * ends with it.
 */
import type { ServerResponse } from 'node:http';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { Refusal } from '../../../service/traffic/common/refusal.js';
import type { ResponseSink, Exchange, RequestContent } from '../../exchange/node/exchange.js';
import { createErrorResponse } from './errorResponse.js';
import { startUndelimitedResponse } from './undelimitedResponse.js';

/** An exchange and the response that it produces. */
export interface CallerExchange {
  readonly exchange: Exchange;
  readonly response: Promise<Response>;
}

/** Bytes buffered for a slow caller before reading from the upstream pauses. */
const maximumBufferedBytes = 256 * 1024;

/** Passes the body of a response on. */
interface ResponseBody extends Pick<ResponseSink, 'write' | 'waitForDrain'> {
  readonly end: () => void;
  readonly abort: (reason: Refusal) => void;
}

const createUndelimitedBody = (outgoing: ServerResponse): ResponseBody => ({
  write: (chunk) => {
    outgoing.write(chunk);
  },
  waitForDrain: () => {
    if (!outgoing.writableNeedDrain || outgoing.destroyed) return Promise.resolve();
    return new Promise((resolve) => {
      outgoing.once('drain', resolve).once('close', resolve);
    });
  },
  end: () => {
    outgoing.end();
  },
  abort: () => {
    // An orderly end of the connection would mark the end of the response.
    if (outgoing.socket === null) outgoing.destroy();
    else outgoing.socket.resetAndDestroy();
  },
});

const createBodyStream = (): ResponseBody & { readonly stream: ReadableStream<Uint8Array> } => {
  let controller: ReadableStreamDefaultController<Uint8Array> | undefined;
  let resolveDrain: (() => void) | undefined;

  const resume = (): void => {
    resolveDrain?.();
    resolveDrain = undefined;
  };

  const stream = new ReadableStream<Uint8Array>(
    {
      start: (streamController) => {
        controller = streamController;
      },
      pull: resume,
      cancel: () => {
        controller = undefined;
        resume();
      },
    },
    { highWaterMark: maximumBufferedBytes, size: (chunk) => chunk.byteLength },
  );

  return {
    stream,
    write: (chunk: Uint8Array) => controller?.enqueue(chunk),
    waitForDrain: (): Promise<void> => {
      if ((controller?.desiredSize ?? 1) > 0) return Promise.resolve();
      return new Promise((resolve) => {
        resolveDrain = resolve;
      });
    },
    end: () => {
      controller?.close();
      controller = undefined;
    },
    abort: (reason: Refusal) => {
      controller?.error(new Error(reason.message));
      controller = undefined;
      resume();
    },
  };
};

/** Creates the exchange of one request; `outgoing` is the connection of its caller. */
export const createCallerExchange = (
  content: RequestContent,
  outgoing: ServerResponse,
): CallerExchange => {
  const bodyStream = createBodyStream();
  let body: ResponseBody = bodyStream;
  let hasSentHead = false;
  let resolveResponse: (response: Response) => void;
  const response = new Promise<Response>((resolve) => {
    resolveResponse = resolve;
  });

  const sink: ResponseSink = {
    writeHead: (status, headers, isDelimited) => {
      hasSentHead = true;
      if (isDelimited) {
        resolveResponse(new Response(bodyStream.stream, { status, headers }));
        return;
      }
      body = createUndelimitedBody(outgoing);
      startUndelimitedResponse(outgoing, status, headers);
      resolveResponse(RESPONSE_ALREADY_SENT);
    },
    write: (chunk) => body.write(chunk),
    waitForDrain: () => body.waitForDrain(),
  };

  const close = (refusal: Refusal | null): void => {
    if (refusal === null) body.end();
    else if (hasSentHead) body.abort(refusal);
    else resolveResponse(createErrorResponse(refusal));
  };

  return { exchange: { content, openSink: () => sink, close }, response };
};
