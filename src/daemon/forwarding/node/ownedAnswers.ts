/**
 * Decides which response belongs to which send, for calls, scoring requests, items and orders. An
 * upstream may send a second copy of a response at any later time on the same connection. A
 * response belongs to a send if
 *
 * - it names the request of the send, and its connection has not carried that request before, or
 * - its connection carries nothing but this send, which is how requests without an id are sent.
 *
 * Any other response is foreign: it says nothing about the send, which may have run, and its
 * connection is closed.
 */
import type { IncomingMessage } from 'node:http';
import type { Disposable } from '../../../base/common/disposable.js';
import type { UpstreamStart } from '../../../service/registry/common/registryTables.js';
import type { World } from '../../../service/world/common/world.js';
import { readHeaders, type UpstreamClient, type UpstreamRequest } from './upstreamClient.js';
import { ResponseClass, type ResponseHead, type UpstreamDialect } from './upstreamDialect.js';

/** Class of a response that belongs to its send. */
export type OwnedClass = Exclude<ResponseClass, typeof ResponseClass.Foreign>;

/** A response that belongs to its send. */
export interface OwnedResponse {
  readonly class: OwnedClass;
  readonly head: ResponseHead;
  readonly message: IncomingMessage;
}

/** Callbacks of a send; either of them is called first. */
export interface SendListener {
  readonly onDidReceiveResponse: (response: OwnedResponse) => void;
  /** `isNotRun` is true only if no byte of the request was written. */
  readonly onDidFail: (reason: string, isNotRun: boolean) => void;
}

/** A request that its upstream names in the response. */
export interface NamedRequest extends UpstreamRequest {
  readonly requestId: string;
  /** The start of the upstream to which the request is sent. */
  readonly start: UpstreamStart;
}

/** Sends a request; disposing of the result closes its connection. */
export type SendNamedRequest = (request: NamedRequest, listener: SendListener) => Disposable;

/**
 * Creates the sender of a port; `sender` labels the metric of foreign responses. A response that
 * belongs to its send and says that the upstream is leaving is reported to `leavingFacts`.
 */
export const createNamedSender =
  (
    world: World,
    client: UpstreamClient,
    dialect: UpstreamDialect,
    sender: string,
    wake: () => void,
  ): SendNamedRequest =>
  (request, { onDidReceiveResponse, onDidFail }) =>
    client.send(request, {
      onDidReceiveResponse: (message) => {
        const head = { status: message.statusCode ?? 0, headers: readHeaders(message) };
        const responseClass = dialect.classifyResponse(head, request.requestId);
        if (responseClass === ResponseClass.Foreign) {
          message.destroy();
          const reason = dialect.describeForeign(head, request.requestId);
          world.metrics.count('responses.foreign', 1, { sender, reason });
          onDidFail(`foreign response with status ${head.status}: ${reason}`, false);
          return;
        }
        if (dialect.isLeaving(head)) {
          world.leavingFacts.append(request.start);
          wake();
        }
        onDidReceiveResponse({ class: responseClass, head, message });
      },
      onDidFail,
    });
