/**
 * Tables of calls and sends. A call is a request on a declared route; a send is one attempt to run
 * it on an upstream. Bodies and headers stay in the ports and are not stored here.
 */
import type { Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { RouteRow } from '../../declaration/common/declarationTables.js';
import type { Homes } from '../../places/common/homes.js';
import type { Fingerprint } from '../../quarantine/common/fingerprint.js';
import type { UpstreamProcess } from '../../quarantine/common/quarantineTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { CallRefusal } from './callRefusal.js';

export type CallId = Brand<'call'>;
export type SendId = Brand<'send'>;

/**
 * Sort key by which internal calls are assigned to upstreams: numbers that are compared in order,
 * lowest first. It is empty for calls of callers, which precede all internal calls.
 */
export type CallUrgency = readonly number[];

/** The stream that a caller takes up with a call. */
export interface StreamReference {
  /** Identifier of the request that brought its first event; null if the caller named none. */
  readonly request: string | null;
}

/** The stream that a call continues, on a route whose streams can be resumed. */
export interface StreamContinuation extends StreamReference {
  /** Services to which the route may send the call. */
  readonly services: readonly string[];
}

/** A call decoded by a port. */
export interface ArrivedCall {
  readonly id: CallId;
  /** Request identifier supplied by the caller, which is forwarded to the upstream. */
  readonly requestId: string;
  readonly host: string;
  readonly path: string;
  readonly key: string | null;
  /** Digest of method, path and body; null for internal calls, which are never quarantined. */
  readonly digest: string | null;
  /** Time that the caller allows, or null if it did not specify one. */
  readonly remaining: Milliseconds | null;
  /** Whether this system makes the call itself; internal calls need no key. */
  readonly isInternal: boolean;
  /** Workspace of the job for which an internal call is made; absent if it is made for none. */
  readonly jobWorkspace?: string | null;
  readonly urgency: CallUrgency;
  /** The stream that the call takes up after its last received event; null if it begins one. */
  readonly takesUp: StreamReference | null;
}

export const CallState = {
  /** Waits for the origin of the stream that it continues. */
  Locating: 'locating',
  /** Waiting for an upstream. */
  Waiting: 'waiting',
  Running: 'running',
  /** The answer of an upstream is complete. */
  Answered: 'answered',
  Refused: 'refused',
  /** The caller has disconnected. */
  Cancelled: 'cancelled',
} as const;
export type CallState = ValueOf<typeof CallState>;

export interface CallRow {
  readonly id: CallId;
  readonly requestId: string;
  readonly workspace: string | null;
  /** Recognizes the call if it is sent again; null for internal calls. */
  readonly fingerprint: Fingerprint | null;
  /** Name of the route; empty if no route matches. */
  readonly route: string;
  /** Null if no route matches. */
  readonly routeId: RouteRow['id'] | null;
  /** Workspace whose home regions bind the call; that of the job if the call is internal. */
  readonly homeWorkspace: string | null;
  /** Home regions at the admission, which bind the call if its route or workspace is withdrawn. */
  readonly admittedHomes: Homes;
  readonly service: string;
  readonly state: CallState;
  /** Time of arrival. */
  readonly arrivedAt: Instant;
  /** Whether this system makes the call itself, so that no caller waits for it. */
  readonly isInternal: boolean;
  readonly urgency: CallUrgency;
  readonly isIdempotent: boolean;
  /** Whether the call is answered with a stream that can be resumed. */
  readonly isResumable: boolean;
  readonly continuation: StreamContinuation | null;
  /** Software version that the upstream must run; null if any may run the call. */
  readonly softwareVersion: string | null;
  /** Time until which the origin of a continued stream is awaited. */
  readonly locationDeadline: Instant;
  readonly maximumAttempts: number;
  /** Number of sends that may have run. */
  readonly attempts: number;
  /** Number of sends that an upstream answered with the failure of its run. */
  readonly failureCount: number;
  /** Distinct upstreams at which a send of the call broke. */
  readonly brokenUpstreams: readonly UpstreamId[];
  /** Upstreams to which the call was sent, in order. */
  readonly triedUpstreams: readonly UpstreamId[];
  /** Time until which the call waits for its first upstream. */
  readonly offerDeadline: Instant;
  /** Maximum time without an answer from one send before another upstream is tried. */
  readonly silenceMilliseconds: Milliseconds;
  readonly callDeadline: Instant;
  /** Earliest time of the next send. */
  readonly backoffDeadline: Instant;
  /** The send whose answer is returned to the caller; null until the call is answered. */
  readonly answer: SendId | null;
  readonly refusal: CallRefusal | null;
  /** Time at which the row is removed after the call has ended. */
  readonly retentionDeadline: Instant;
}

export const SendState = {
  /** Sent to the upstream, which has not answered yet. */
  Running: 'running',
  Ended: 'ended',
} as const;
export type SendState = ValueOf<typeof SendState>;

/** Outcome of a send. */
export const SendOutcome = {
  Answered: 'answered',
  /** The upstream answered with a server error, and the call is retried. */
  Failed: 'failed',
  NotRun: 'notRun',
  Broken: 'broken',
  /** The upstream did not answer in time. */
  TimedOut: 'silent',
  /** The call ended before the upstream answered. */
  Abandoned: 'abandoned',
} as const;
export type SendOutcome = ValueOf<typeof SendOutcome>;

export interface SendResult {
  readonly outcome: SendOutcome;
  /** Details from the port, for the log. */
  readonly reason: string;
}

export interface SendRow {
  readonly id: SendId;
  readonly call: CallId;
  readonly upstream: UpstreamId;
  /** The process of the upstream to which it was sent. */
  readonly process: UpstreamProcess;
  /** Software version of the upstream, as registered when the send started. */
  readonly softwareVersion: string | null;
  readonly state: SendState;
  /** Time at which the send started. */
  readonly startedAt: Instant;
  /** Time by which the upstream must answer. */
  readonly silenceDeadline: Instant;
  /** Time from which the port must not send it, because its permit expires; `never` without one. */
  readonly permitDeadline: Instant;
}

/** The result of a send, as reported by the port. */
export type SendFact =
  /** A complete answer that identifies itself as the answer to this request. */
  | {
      readonly kind: 'answered';
      readonly send: SendId;
      readonly status: number;
      /** Whether the upstream states that it ran the request and failed. */
      readonly hasFailed: boolean;
    }
  /** The request certainly did not run. */
  | {
      readonly kind: 'notRun';
      readonly send: SendId;
      readonly reason: string;
      /** Whether nothing listens at the address of the upstream. */
      readonly isConnectionRefused?: boolean;
    }
  /** The request may have run, and no usable answer was received. */
  | { readonly kind: 'broken'; readonly send: SendId; readonly reason: string };

const isEndedByState: Readonly<Record<CallState, boolean>> = {
  locating: false,
  waiting: false,
  running: false,
  answered: true,
  refused: true,
  cancelled: true,
};

/** Whether a call has reached a final state. */
export const hasCallEnded = (row: CallRow): boolean => isEndedByState[row.state];

export const createForwardingTables = () => ({
  arrivedCalls: createRowQueue<ArrivedCall>('arrivedCalls', RowReader.System),
  /** Calls whose caller has disconnected. */
  departedCalls: createRowQueue<CallId>('departedCalls', RowReader.System),
  calls: createTable<
    CallRow,
    'waiting' | 'locating',
    'offer' | 'location' | 'call' | 'retention' | 'backoff'
  >({
    name: 'calls',
    indices: {
      waiting: (row) => (row.state === CallState.Waiting ? row.service : undefined),
      locating: (row) =>
        row.state === CallState.Locating ? (row.continuation?.request ?? undefined) : undefined,
    },
    deadlines: {
      location: (row) => (row.state === CallState.Locating ? row.locationDeadline : never),
      offer: (row) => (row.state === CallState.Waiting ? row.offerDeadline : never),
      backoff: (row) => (row.state === CallState.Waiting ? row.backoffDeadline : never),
      call: (row) => (hasCallEnded(row) ? never : row.callDeadline),
      retention: (row) => row.retentionDeadline,
    },
  }),
  sends: createTable<SendRow, 'call', 'silence'>({
    name: 'sends',
    indices: { call: (row) => row.call },
    deadlines: {
      silence: (row) => (row.state === SendState.Running ? row.silenceDeadline : never),
    },
  }),
  sendFacts: createRowQueue<SendFact>('sendFacts', RowReader.System),
});
