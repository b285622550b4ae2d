/**
 * Sends requests with a fencing token, which only the leader may send. A receiver that ignores tokens
 * must get none of them after a request of a later leader, so the lease is checked when the
 * connection is established, right before the first byte, and a request that is abandoned or not
 * answered in time is reset, which discards the bytes that have not arrived.
 */
import type { IncomingMessage } from 'node:http';
import { createDisposable, type Disposable } from '../../../base/common/disposable.js';
import { deadlineAfter, remainingUntil, type Clock } from '../../../base/common/time.js';
import { maximumOrderTransitMilliseconds } from '../../../service/consensus/common/consensusTiming.js';
import type { UpstreamClient } from '../../forwarding/node/upstreamClient.js';
import type { RequestContent } from '../../forwarding/node/upstreamDialect.js';

/** Receiver and content of a request, and the condition under which it may be written. */
export interface FencedRequest {
  readonly address: string;
  readonly content: RequestContent;
  /** Whether this daemon holds the lease at this moment. */
  readonly isAllowed: () => boolean;
}

/** Callbacks of a request; either `onDidReceiveResponse` or `onDidFail` is called, once. */
export interface FencedListener {
  readonly onDidWrite: () => void;
  readonly onDidReceiveResponse: (response: IncomingMessage) => void;
  /** `isWritten` is false if the receiver has got no byte of the request and never will. */
  readonly onDidFail: (reason: string, isWritten: boolean) => void;
}

/** Sends a request; disposing of the result resets its connection. */
export type SendFenced = (request: FencedRequest, listener: FencedListener) => Disposable;

/** Creates the sender. Without a response within `maximumOrderTransitMilliseconds` a request fails. */
export const createFencedSender =
  (client: UpstreamClient, clock: Clock): SendFenced =>
  (request, listener) => {
    const transitDeadline = deadlineAfter(clock(), maximumOrderTransitMilliseconds);
    let isWritten = false;
    let timer: NodeJS.Timeout | undefined;
    const sent = client.send(
      // A pooled connection may still deliver the copy of an earlier response, which names no order.
      { ...request, headers: {}, requestId: null },
      {
        onDidWrite: () => {
          isWritten = true;
          listener.onDidWrite();
        },
        onDidReceiveResponse: (response) => {
          clearTimeout(timer);
          listener.onDidReceiveResponse(response);
        },
        onDidFail: (reason) => {
          clearTimeout(timer);
          listener.onDidFail(reason, isWritten);
        },
      },
    );
    timer = setTimeout(
      () => {
        sent.reset();
        listener.onDidFail('no response in time', isWritten);
      },
      remainingUntil(transitDeadline, clock()),
    );
    return createDisposable(() => {
      clearTimeout(timer);
      sent.reset();
    });
  };
