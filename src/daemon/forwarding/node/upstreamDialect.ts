/**
 * How requests are written to upstreams and their answers read. Ports know what is said; a dialect knows
 * the headers, paths and bodies in which it is said.
 */
import type { Milliseconds } from '../../../base/common/time.js';
import type {
  WeightOrderFact,
  WeightOrderRow,
} from '../../../service/weights/common/versionTables.js';

export type Headers = Readonly<Record<string, string>>;

/** The bytes of a request. Headers carry no key. */
export interface RequestContent {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array | null;
}

/** What the system adds to a request. */
export interface RequestEnvelope {
  readonly host: string;
  readonly requestId: string;
  /** The start of an upstream that shall run it; any other one refuses. */
  readonly upstream: string;
  readonly workspace: string | null;
  /** How long the caller still waits; null where there is no bound. */
  readonly remaining: Milliseconds | null;
  /** The last event of the text that the request goes on after; null from the start. */
  readonly lastEventId: string | null;
  /** The weight version under which it shall run; an upstream with another one refuses. */
  readonly expectedVersion: number | null;
}

/** What the head of an answer says of the request. */
export const ResponseClass = {
  /** An upstream's own answer to this request. */
  Ran: 'ran',
  /** The upstream did not run it. */
  NotRun: 'notRun',
  /** Not an answer to this request, or not one of an upstream. */
  Foreign: 'foreign',
  /** The upstream failed at it. */
  Failed: 'failed',
  /** It can never be done. */
  Impossible: 'impossible',
} as const;
export type ResponseClass = (typeof ResponseClass)[keyof typeof ResponseClass];

/** The head of an answer, with header names in lower case. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Headers;
}

/** An order as it goes over the wire. */
export interface EncodedOrder {
  readonly path: string;
  readonly headers: Headers;
  readonly body: string;
}

export interface UpstreamDialect {
  readonly createHeaders: (envelope: RequestEnvelope) => Headers;
  readonly classifyResponse: (head: ResponseHead, requestId: string) => ResponseClass;
  /** The signature of an upstream's answer; null where it has none. */
  readonly readSignature: (head: ResponseHead) => string | null;
  /** Weight versions that a head names; null where it names none. */
  readonly readWeightVersion: (head: ResponseHead) => number | null;
  /** Name of the line in an event that tells a change of the weight version. */
  readonly weightVersionField: string;
  readonly encodeOrder: (order: WeightOrderRow, holder: string) => EncodedOrder;
  readonly classifyOrderStatus: (status: number) => WeightOrderFact['kind'];
}
