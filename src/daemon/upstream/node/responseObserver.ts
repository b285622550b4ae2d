/**
 * Extracts facts from the bytes of a response as they pass: tokens, weight versions, usage and
 * whether the response is complete. It does not change the bytes.
 */
import { createParser } from 'eventsource-parser';
import { Result } from 'neverthrow';
import type { ValueOf } from '../../../base/common/handlers.js';
import {
  engineChunkSchema,
  streamEndMarker,
  type EngineChunk,
} from '../../../service/protocol/common/engineProtocol.js';
import type { AttemptFact } from '../../../service/traffic/common/attemptFact.js';
import type { AttemptId } from '../../../service/world/common/identifiers.js';

/** Format of a response body. */
export const ResponseFormat = {
  /** Server-sent events of an engine. */
  EventStream: 'eventStream',
  /** One JSON body of an engine. */
  JsonBody: 'jsonBody',
  /** Any other format; only progress is reported. */
  Opaque: 'opaque',
} as const;
export type ResponseFormat = ValueOf<typeof ResponseFormat>;

/** Observes one response. */
export interface ResponseObserver {
  readonly write: (chunk: Uint8Array) => void;
  /** Whether the event that is being received is within its limit; it may never end. */
  readonly isWithinLimits: () => boolean;
  /** Called when the upstream has closed the response normally; returns whether it is complete. */
  readonly end: () => boolean;
}

type Report = (fact: AttemptFact) => void;

interface TokenRun {
  readonly weightVersion: number | null;
  readonly incarnation: number;
  readonly tokens: number;
}

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => undefined,
);

const parseChunk = Result.fromThrowable(
  (text: string): EngineChunk => engineChunkSchema.parse(JSON.parse(text)),
  () => undefined,
);

const createTokenRun = (chunk: EngineChunk): TokenRun => ({
  weightVersion: chunk.weight_version ?? null,
  incarnation: chunk.incarnation ?? 0,
  tokens: chunk.tokens ?? 0,
});

const hasSameOrigin = (first: TokenRun, second: TokenRun): boolean =>
  first.weightVersion === second.weightVersion && first.incarnation === second.incarnation;

/** Combines the tokens of consecutive chunks with the same origin, so that a read adds few facts. */
const createTokenCounter = (attempt: AttemptId, report: Report) => {
  let run: TokenRun | undefined;

  const flush = (): void => {
    if (run !== undefined && run.tokens > 0) report({ kind: 'tokensCame', attempt, ...run });
    run = undefined;
  };

  const add = (chunk: EngineChunk): void => {
    const next = createTokenRun(chunk);
    if (run !== undefined && !hasSameOrigin(run, next)) flush();
    run = { ...next, tokens: (run?.tokens ?? 0) + next.tokens };
  };

  return { add, flush };
};

const reportUsage = (chunk: EngineChunk, attempt: AttemptId, report: Report): void => {
  if (chunk.usage === undefined || chunk.usage === null) return;
  report({
    kind: 'usageCame',
    attempt,
    promptTokens: chunk.usage.prompt_tokens,
    completionTokens: chunk.usage.completion_tokens,
  });
};

/** Maximum bytes between two events, which includes comments. Events have some hundred bytes. */
const maximumEventBytes = 1024 * 1024;

const observeEventStream = (attempt: AttemptId, report: Report): ResponseObserver => {
  const decoder = new TextDecoder();
  const counter = createTokenCounter(attempt, report);
  let isComplete = false;
  let bytesSinceEvent = 0;
  let hasEvents = false;

  const handleEvent = (data: string): void => {
    bytesSinceEvent = 0;
    hasEvents = true;
    if (data === streamEndMarker) {
      isComplete = true;
      return;
    }
    parseChunk(data).map((chunk) => {
      counter.add(chunk);
      if (chunk.usage) counter.flush();
      reportUsage(chunk, attempt, report);
      return undefined;
    });
  };

  const parser = createParser({ onEvent: (event) => handleEvent(event.data) });
  return {
    write: (bytes) => {
      hasEvents = false;
      bytesSinceEvent += bytes.length;
      parser.feed(decoder.decode(bytes, { stream: true }));
      counter.flush();
      // Bytes without an event are no progress, or a stalled engine could keep a request for ever.
      if (hasEvents) report({ kind: 'progress', attempt });
    },
    isWithinLimits: () => bytesSinceEvent <= maximumEventBytes,
    end: () => isComplete,
  };
};

/** Maximum bytes of a JSON body that are observed; a larger body is forwarded unobserved. */
const maximumObservedBytes = 8 * 1024 * 1024;

const observeJsonBody = (attempt: AttemptId, report: Report): ResponseObserver => {
  const chunks: Uint8Array[] = [];
  let length = 0;

  const handleBody = (chunk: EngineChunk): void => {
    const counter = createTokenCounter(attempt, report);
    counter.add(chunk);
    counter.flush();
    reportUsage(chunk, attempt, report);
  };

  return {
    write: (bytes) => {
      length += bytes.length;
      if (length <= maximumObservedBytes) chunks.push(bytes);
      report({ kind: 'progress', attempt });
    },
    isWithinLimits: () => true,
    end: () => {
      if (length > maximumObservedBytes) return true;
      const text = Buffer.concat(chunks).toString('utf8');
      parseChunk(text).map(handleBody);
      // A body that is cut, or holds bytes of another answer, is no JSON.
      return length === 0 || parseJson(text).isOk();
    },
  };
};

const observeOpaque = (attempt: AttemptId, report: Report): ResponseObserver => ({
  write: () => report({ kind: 'progress', attempt }),
  isWithinLimits: () => true,
  end: () => true,
});

const observerFactories: Readonly<
  Record<ResponseFormat, (attempt: AttemptId, report: Report) => ResponseObserver>
> = {
  eventStream: observeEventStream,
  jsonBody: observeJsonBody,
  opaque: observeOpaque,
};

/** Creates the observer for a response in `format`. */
export const createResponseObserver = (
  format: ResponseFormat,
  attempt: AttemptId,
  report: Report,
): ResponseObserver => observerFactories[format](attempt, report);
