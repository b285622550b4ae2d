/**
 * Interface between the ports and the encoding of upstream messages. Ports decide what to send; a
 * dialect maps it to paths, headers and bodies, and classifies responses.
 */
import type { Milliseconds } from '../../../base/common/time.js';
import type {
  EngineOrderState,
  WeightOrderOutcome,
  WeightOrderRow,
} from '../../../service/weights/common/versionTables.js';

/** Header values by name. */
export type Headers = Readonly<Record<string, string>>;

/** Content of a request. Headers never contain a key. */
export interface RequestContent {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array | null;
}

/** Values that the daemon adds to a request as headers. */
export interface RequestEnvelope {
  readonly host: string;
  readonly requestId: string;
  /** Instance of the upstream that must run the request; other instances refuse it. */
  readonly upstream: string;
  readonly workspace: string | null;
  /** Time until the caller's deadline; null if there is none. */
  readonly remaining: Milliseconds | null;
  /** Last received event, after which the text goes on; null to start at the beginning. */
  readonly lastEventId: string | null;
  /** Required weight version; an upstream with another version refuses the request. */
  readonly expectedVersion: number | null;
}

/** Classification of a response by its status and headers. */
export const ResponseClass = {
  /** The response of an upstream that ran this request. */
  Ran: 'ran',
  /** The upstream did not run the request. */
  NotRun: 'notRun',
  /** The response belongs to another request or was not sent by an upstream. */
  Foreign: 'foreign',
  /** The upstream failed while running the request. */
  Failed: 'failed',
  /** The request can never succeed. */
  Impossible: 'impossible',
  /** Another status, which does not tell whether the request ran or could succeed. */
  Inconclusive: 'inconclusive',
} as const;
export type ResponseClass = (typeof ResponseClass)[keyof typeof ResponseClass];

/** Status and headers of a response; header names are in lower case. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Headers;
}

/** An order in wire format. */
export interface EncodedOrder {
  readonly path: string;
  readonly headers: Headers;
  readonly body: string;
}

/** Encodes requests and orders, and classifies responses, for one kind of upstream API. */
export interface UpstreamDialect {
  readonly createHeaders: (envelope: RequestEnvelope) => Headers;
  readonly classifyResponse: (head: ResponseHead, requestId: string) => ResponseClass;
  /** Why a foreign response does not belong to the request; for metrics and logs. */
  readonly describeForeign: (head: ResponseHead, requestId: string) => string;
  /**
   * Whether callers read a status as the promise that their request has not run. A response with it
   * that does not state so must not be passed on.
   */
  readonly promisesNotRun: (status: number) => boolean;
  /** Whether the upstream says that it is leaving; every answer of such an upstream says so. */
  readonly isLeaving: (head: ResponseHead) => boolean;
  /** The signature of the upstream; null if the response has none. */
  readonly readSignature: (head: ResponseHead) => string | null;
  /** The weight version named by the headers; null if they name none. */
  readonly readWeightVersion: (head: ResponseHead) => number | null;
  /** Name of the event field that announces a change of the weight version. */
  readonly weightVersionField: string;
  readonly encodeOrder: (order: WeightOrderRow, holder: string) => EncodedOrder;
  readonly classifyOrderStatus: (status: number) => WeightOrderOutcome;
  /** The request for the state of an engine. */
  readonly stateRequest: RequestContent;
  /** The state in the body of a successful response; null if it has none that can be read. */
  readonly decodeState: (body: Buffer) => EngineOrderState | null;
}
