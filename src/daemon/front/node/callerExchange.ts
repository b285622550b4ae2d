/**
 * The exchange of a caller's request: the answer becomes a streamed response, or a refusal one that says
 * why. Bytes wait in the stream until the caller reads them.
 */
import type { Refusal } from '../../../service/traffic/common/refusal.js';
import type { ResponseSink, Exchange, RequestContent } from '../../exchange/node/exchange.js';
import { errorResponse } from './errorResponse.js';

/** An exchange, and the response that it will give. */
export interface CallerExchange {
  readonly exchange: Exchange;
  readonly response: Promise<Response>;
}

/** Bytes that may wait for the caller before the upstream is slowed down. */
const maximumWaitingBytes = 256 * 1024;

const createBodyStream = () => {
  let controller: ReadableStreamDefaultController<Uint8Array> | undefined;
  let resumeWriter: (() => void) | undefined;

  const resume = (): void => {
    resumeWriter?.();
    resumeWriter = undefined;
  };

  const stream = new ReadableStream<Uint8Array>(
    {
      start: (created) => {
        controller = created;
      },
      pull: resume,
      cancel: () => {
        controller = undefined;
        resume();
      },
    },
    { highWaterMark: maximumWaitingBytes, size: (chunk) => chunk.byteLength },
  );

  return {
    stream,
    write: (chunk: Uint8Array) => controller?.enqueue(chunk),
    onceDrained: (): Promise<void> => {
      if ((controller?.desiredSize ?? 1) > 0) return Promise.resolve();
      return new Promise((resolve) => {
        resumeWriter = resolve;
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

/** Creates the exchange of one request. */
export const createCallerExchange = (content: RequestContent): CallerExchange => {
  const body = createBodyStream();
  let hasBegun = false;
  let resolveResponse: (response: Response) => void;
  const response = new Promise<Response>((resolve) => {
    resolveResponse = resolve;
  });

  const sink: ResponseSink = {
    writeHead: (status, headers) => {
      hasBegun = true;
      resolveResponse(new Response(body.stream, { status, headers }));
    },
    write: body.write,
    waitForDrain: body.onceDrained,
  };

  const close = (refusal: Refusal | null): void => {
    if (refusal === null) body.end();
    else if (hasBegun) body.abort(refusal);
    else resolveResponse(errorResponse(refusal));
  };

  return { exchange: { content, openSink: () => sink, close }, response };
};
