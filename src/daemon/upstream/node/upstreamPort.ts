/**
 * Port to upstreams: sends the request of an attempt that reaches the state `writing`, pipes the
 * response to its sink, reports facts, and closes the connection when the attempt has ended.
 */
import type { Dispatcher } from 'undici';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import {
  engineRefusalHeader,
  engineRefusalStatus,
} from '../../../service/protocol/common/engineProtocol.js';
import { UpstreamKind } from '../../../service/protocol/common/upstreamProtocol.js';
import { NotRunReason, type AttemptFact } from '../../../service/traffic/common/attemptFact.js';
import { AttemptState, type AttemptRow } from '../../../service/traffic/common/trafficTables.js';
import type { AttemptId, RequestId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type { Exchange, RequestContent } from '../../exchange/node/exchange.js';
import { isDelimitedResponse } from '../../forwarding/node/upstreamClient.js';
import { connectionRefusedCode } from '../../quarantine/node/addressProbePort.js';
import { ResponseFormat, createResponseObserver } from './responseObserver.js';
import { createUpstreamConnections } from './upstreamConnections.js';

/** Sends the requests of attempts; `drain` runs after each tick. */
export interface UpstreamPort extends AsyncDisposable {
  readonly drain: () => void;
  readonly running: () => number;
}

/** Finds the exchange of a request. */
export type FindExchange = (request: RequestId) => Exchange | undefined;

/** Response headers that are forwarded to the caller. */
const forwardedResponseHeaderNames = [
  'content-type',
  'content-language',
  'cache-control',
  'etag',
  'last-modified',
  'location',
  'retry-after',
];

/** Connection error codes that imply that no byte of the request was written. */
const connectFailureCodes = new Set([
  connectionRefusedCode,
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const errorCodeOf = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : 'unknown';

const selectResponseHeaders = (response: Dispatcher.ResponseData): Record<string, string> =>
  Object.fromEntries(
    forwardedResponseHeaderNames.flatMap((name) => {
      const value = response.headers[name];
      return value === undefined ? [] : [[name, String(value)]];
    }),
  );

const detectFormat = (response: Dispatcher.ResponseData, kind: UpstreamKind): ResponseFormat => {
  if (kind === UpstreamKind.Plain) return ResponseFormat.Opaque;
  const contentType = String(response.headers['content-type'] ?? '');
  if (contentType.startsWith('text/event-stream')) return ResponseFormat.EventStream;
  return contentType.startsWith('application/json')
    ? ResponseFormat.JsonBody
    : ResponseFormat.Opaque;
};

/** Whether a cut of the response can be seen; a stream of events shows its end itself. */
const hasVisibleEnd = (
  { statusCode: status, headers }: Dispatcher.ResponseData,
  format: ResponseFormat,
  method: string,
): boolean =>
  format === ResponseFormat.EventStream ||
  method === 'HEAD' ||
  isDelimitedResponse({ status, headers });

const minimumServerErrorStatus = 500;

/** Responses before the final one, such as 103, that a request may get. */
const maximumInterimResponses = 16;

const isRefusedBeforeRunning = (response: Dispatcher.ResponseData): boolean =>
  response.statusCode === engineRefusalStatus &&
  response.headers[engineRefusalHeader] !== undefined;

const hasEngineFailed = (response: Dispatcher.ResponseData, kind: UpstreamKind): boolean =>
  kind === UpstreamKind.Engine && response.statusCode >= minimumServerErrorStatus;

/** Creates the port. `wake` requests a tick after facts were reported. */
export const createUpstreamPort = (
  world: World,
  findExchange: FindExchange,
  wake: () => void,
): UpstreamPort => {
  const connections = createUpstreamConnections(world.metrics);
  const changes = world.attempts.createChangeReader(RowReader.Port);
  const controllers = new Map<AttemptId, AbortController>();

  const report = (fact: AttemptFact): void => {
    world.attemptFacts.append(fact);
    wake();
  };

  /** Ends an attempt whose upstream sends bytes that are no answer, or no end of one. */
  const abandon = (attempt: AttemptRow, controller: AbortController, reason: string): void => {
    if (controller.signal.aborted) return;
    report({ kind: 'broken', attempt: attempt.id, reason, hasAnswered: true });
    controller.abort();
  };

  const send = (
    content: RequestContent,
    attempt: AttemptRow,
    address: string,
    controller: AbortController,
  ): Promise<Dispatcher.ResponseData | null> => {
    let interimResponses = 0;
    return connections.send(address, attempt.id, {
      path: content.path,
      method: content.method,
      headers: content.headers,
      body: content.body,
      signal: controller.signal,
      onInfo: () => {
        interimResponses += 1;
        if (interimResponses > maximumInterimResponses)
          abandon(attempt, controller, 'too many interim responses');
      },
    });
  };

  const pipe = async (
    response: Dispatcher.ResponseData,
    attempt: AttemptRow,
    kind: UpstreamKind,
    exchange: Exchange,
    controller: AbortController,
  ): Promise<void> => {
    let receivedBytes = 0;
    const format = detectFormat(response, kind);
    const observer = createResponseObserver(format, attempt.id, report);
    const isDelimited = hasVisibleEnd(response, format, exchange.content.method);
    const sink = exchange.openSink(attempt.id);
    sink.writeHead(response.statusCode, selectResponseHeaders(response), isDelimited);
    report({ kind: 'answerStarted', attempt: attempt.id, status: response.statusCode });

    for await (const chunk of response.body) {
      const bytes = chunk as Uint8Array;
      receivedBytes += bytes.length;
      observer.write(bytes);
      if (
        receivedBytes > world.deployment.limits.maximumAnswerBytes ||
        !observer.isWithinLimits()
      ) {
        abandon(attempt, controller, 'response or event exceeds its maximum size');
        return;
      }
      sink.write(bytes);
      await sink.waitForDrain();
    }
    if (observer.end()) report({ kind: 'answerEnded', attempt: attempt.id });
    else
      report({
        kind: 'broken',
        attempt: attempt.id,
        reason: 'response ended before it was complete',
      });
  };

  const handleResponse = async (
    response: Dispatcher.ResponseData,
    attempt: AttemptRow,
    kind: UpstreamKind,
    exchange: Exchange,
    controller: AbortController,
  ): Promise<void> => {
    if (isRefusedBeforeRunning(response)) {
      await response.body.dump();
      report({ kind: 'notRun', attempt: attempt.id, reason: NotRunReason.Refused });
      return;
    }
    if (hasEngineFailed(response, kind)) {
      await response.body.dump();
      const reason = `status ${response.statusCode}`;
      report({ kind: 'broken', attempt: attempt.id, reason, hasAnswered: true });
      return;
    }
    await pipe(response, attempt, kind, exchange, controller);
  };

  const reportFailure = (attempt: AttemptRow, error: unknown): void => {
    const reason = errorCodeOf(error);
    const isConnectionRefused = reason === connectionRefusedCode;
    if (connectFailureCodes.has(reason))
      report({ kind: 'notRun', attempt: attempt.id, reason, isConnectionRefused });
    else report({ kind: 'broken', attempt: attempt.id, reason });
  };

  const runAttempt = async (attempt: AttemptRow): Promise<void> => {
    const upstream = world.upstreams.get(attempt.upstream);
    const exchange = findExchange(attempt.request);
    if (upstream === undefined || exchange === undefined) {
      report({
        kind: 'notRun',
        attempt: attempt.id,
        reason: 'request or upstream no longer exists',
      });
      return;
    }
    const controller = new AbortController();
    controllers.set(attempt.id, controller);
    try {
      const { content } = exchange;
      const response = await send(content, attempt, upstream.address, controller);
      if (response === null) abandon(attempt, controller, 'answer of another request');
      else await handleResponse(response, attempt, upstream.kind, exchange, controller);
    } catch (error) {
      if (!controller.signal.aborted) reportFailure(attempt, error);
    } finally {
      controllers.delete(attempt.id);
    }
  };

  /** Handlers for changed attempts, by state. */
  const handlersByState: Readonly<Record<AttemptState, (attempt: AttemptRow) => void>> = {
    queued: () => {},
    writing: (attempt) => {
      if (!controllers.has(attempt.id)) void runAttempt(attempt);
    },
    answering: () => {},
    ended: (attempt) => controllers.get(attempt.id)?.abort(),
  };

  return {
    drain: () =>
      changes.take().forEach((id) => {
        const attempt = world.attempts.get(id);
        if (attempt !== undefined) handlersByState[attempt.state](attempt);
      }),
    running: () => controllers.size,
    dispose: async () => {
      changes.dispose();
      controllers.forEach((controller) => controller.abort());
      await connections.dispose();
    },
  };
};
