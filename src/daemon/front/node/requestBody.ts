/**
 * Reads the bodies of requests, each within its maximum size and all of them within the memory for
 * bodies. Nothing is read before a route asks for the body.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MiddlewareHandler } from 'hono';
import { hasMoreValuesThan } from '../../../base/common/jsonValues.js';
import type { Clock } from '../../../base/common/time.js';
import { recordReceivedBytes, releaseBuffer } from '../../../base/node/garbage.js';
import { createChunkList } from '../../../base/node/chunkList.js';
import type { Metrics } from '../../../infrastructure/metrics/common/metrics.js';
import type { BodyMemory } from '../../../service/admission/common/bodyMemory.js';
import {
  createRefusal,
  RefusalKind,
  type Refusal,
} from '../../../service/traffic/common/refusal.js';
import type { RouteEnvironment } from './decoding.js';
import { createErrorResponse } from './errorResponse.js';

const bodyRefusedName = 'BodyRefused';

/** Rejects the promise of a body that was not read in full. */
interface BodyRefusedError extends Error {
  readonly refusal: Refusal;
}

const createBodyRefusedError = (refusal: Refusal): BodyRefusedError =>
  Object.assign(new Error(refusal.message), { name: bodyRefusedName, refusal });

/** Whether an error says that the body of the request was not read in full. */
export const isBodyRefusedError = (error: Error): error is BodyRefusedError =>
  error.name === bodyRefusedName;

/** Limits of the bodies of one listener. */
export interface BodyLimits {
  readonly maximumBytes: number;
  /** Maximum number of values of a body that is read as JSON. */
  readonly maximumValues: number;
  /** The memory for the bodies of all listeners of the process. */
  readonly memory: BodyMemory;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

interface RequestBody {
  /** Reads the body, at the first call; the promise is rejected with a `BodyRefusedError`. */
  readonly read: () => Promise<ArrayBuffer>;
  /** Reads the body as a text that will be parsed as JSON. */
  readonly readText: () => Promise<string>;
  /** Why the body was not read in full; undefined if it was, or was not asked for. */
  readonly refusal: () => Refusal | undefined;
}

/** Returns the bytes as memory of their own; large buffers have theirs already. */
const toArrayBuffer = ({ buffer, byteOffset, length }: Buffer): ArrayBuffer =>
  buffer instanceof ArrayBuffer && buffer.byteLength === length
    ? buffer
    : Uint8Array.from(new Uint8Array(buffer, byteOffset, length)).buffer;

/** Whether a body follows the head of a request. */
export const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

const readBody = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  { maximumBytes, memory, clock, metrics }: BodyLimits,
  onDidRefuse: (refusal: Refusal) => void,
): Promise<ArrayBuffer> =>
  new Promise((resolve, reject) => {
    let chunks = createChunkList();
    let receivedBytes = 0;
    let isSettled = false;
    const settle = (): void => {
      isSettled = true;
      chunks = createChunkList();
    };
    const refuse = (kind: RefusalKind): void => {
      if (isSettled) return;
      settle();
      const refusal = createRefusal(kind, true);
      metrics.count('bodies.refused', 1, { reason: kind });
      onDidRefuse(refusal);
      reject(createBodyRefusedError(refusal));
    };
    const share = memory.open(() => refuse(RefusalKind.BodyMemoryFull), clock());
    const release = (): void => releaseBuffer(receivedBytes, share.release);
    outgoing.once('close', () => {
      release();
      refuse(RefusalKind.CallerDisconnected);
    });
    incoming.on('data', (chunk: Buffer) => {
      recordReceivedBytes(chunk.length);
      if (isSettled) return;
      receivedBytes += chunk.length;
      if (receivedBytes > maximumBytes) {
        refuse(RefusalKind.BodyTooLarge);
        release();
      } else if (share.take(chunk.length, clock())) {
        chunks.add(chunk);
      } else {
        refuse(RefusalKind.BodyMemoryFull);
        release();
      }
    });
    incoming.once('end', () => {
      if (isSettled) return;
      share.complete();
      const whole = chunks.join();
      settle();
      resolve(toArrayBuffer(whole));
    });
    // The response is closed too.
    incoming.once('error', () => {});
  });

const createRequestBody = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  limits: BodyLimits,
): RequestBody => {
  let reading: Promise<ArrayBuffer> | undefined;
  let refusal: Refusal | undefined;
  const start = (): Promise<ArrayBuffer> =>
    hasBody(incoming)
      ? readBody(incoming, outgoing, limits, (reason) => {
          refusal = reason;
        })
      : Promise.resolve(new ArrayBuffer(0));
  const read = (): Promise<ArrayBuffer> => {
    reading ??= start();
    return reading;
  };
  return {
    read,
    readText: async () => {
      const bytes = await read();
      if (!hasMoreValuesThan(new Uint8Array(bytes), limits.maximumValues))
        return new TextDecoder().decode(bytes);
      refusal = createRefusal(RefusalKind.BodyTooManyValues, true);
      limits.metrics.count('bodies.refused', 1, { reason: refusal.kind });
      throw createBodyRefusedError(refusal);
    },
    refusal: () => refusal,
  };
};

/** Whether the head of a request announces more than `maximumBytes`. */
const announcesMoreThan = (incoming: IncomingMessage, maximumBytes: number): boolean =>
  Number(incoming.headers['content-length'] ?? 0) > maximumBytes;

/**
 * Lets routes read the body of a request with the methods of `context.req`, within the limits. A
 * request whose body was refused is answered with the refusal, whatever its route made of it.
 */
export const readBodiesWithin =
  (limits: BodyLimits): MiddlewareHandler<RouteEnvironment> =>
  async (context, next) => {
    const { incoming, outgoing } = context.env;
    if (announcesMoreThan(incoming, limits.maximumBytes))
      return createErrorResponse(createRefusal(RefusalKind.BodyTooLarge, true));
    const body = createRequestBody(incoming, outgoing, limits);
    // All methods of `context.req` that read the body take it from here.
    Object.defineProperties(context.req.bodyCache, {
      arrayBuffer: { enumerable: true, get: body.read },
      text: { get: body.readText },
    });
    await next();
    const refusal = body.refusal();
    if (refusal === undefined) return undefined;
    // The headers of a response that is replaced would be kept.
    context.res = undefined;
    context.res = createErrorResponse(refusal);
    return undefined;
  };

/** Refuses bodies of more than `maximumBytes` with the given response. */
export const limitBody =
  (maximumBytes: number, createResponse: () => Response): MiddlewareHandler<RouteEnvironment> =>
  async (context, next) => {
    if (announcesMoreThan(context.env.incoming, maximumBytes)) return createResponse();
    const body = await context.req.arrayBuffer();
    if (body.byteLength > maximumBytes) return createResponse();
    await next();
    return undefined;
  };
