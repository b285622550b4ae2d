/**
 * Calls: requests on declared routes, and the sends by which upstreams run them. Bytes stay in the ports.
 */
import type { Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { CallRefusal } from './callRefusal.js';

export type CallId = Brand<'call'>;
export type SendId = Brand<'send'>;

/**
 * The order in which calls of the system itself get upstreams: numbers compared one after the other, lower ones
 * first. Calls of callers have none and go before all of them.
 */
export type CallUrgency = readonly number[];

/** A request as a port has decoded it. */
export interface ArrivedCall {
  readonly id: CallId;
  /** The caller's identifier of this attempt, which the upstream gets. */
  readonly requestId: string;
  readonly host: string;
  readonly path: string;
  readonly key: string | null;
  /** How long the caller waits; null where it did not say. */
  readonly remaining: Milliseconds | null;
  /** Whether the system itself makes the call, for which no key is needed. */
  readonly isInternal: boolean;
  readonly urgency: CallUrgency;
}

export const CallState = {
  /** Waits for an upstream. */
  Waiting: 'waiting',
  Running: 'running',
  /** An upstream's answer is complete. */
  Answered: 'answered',
  Refused: 'refused',
  /** The caller has left. */
  Cancelled: 'cancelled',
} as const;
export type CallState = ValueOf<typeof CallState>;

export interface CallRow {
  readonly id: CallId;
  readonly requestId: string;
  readonly workspace: string | null;
  /** Name of its route; empty where it has none. */
  readonly route: string;
  readonly service: string;
  readonly state: CallState;
  /** When it came. */
  readonly arrivedAt: Instant;
  /** Whether the system itself makes it, for which callers do not wait. */
  readonly isInternal: boolean;
  readonly urgency: CallUrgency;
  readonly isIdempotent: boolean;
  readonly maximumAttempts: number;
  /** Sends that may have run. */
  readonly attempts: number;
  /** Sends that an upstream answered with a failure of its own. */
  readonly serverErrorCount: number;
  /** Upstreams that were tried, the last one last. */
  readonly triedUpstreams: readonly UpstreamId[];
  /** Until when it waits for a first upstream. */
  readonly offerDeadline: Instant;
  /** Until when one send may be silent before another upstream is tried. */
  readonly silenceMilliseconds: Milliseconds;
  readonly callDeadline: Instant;
  /** When it is sent again after a failure. */
  readonly backoffDeadline: Instant;
  /** The send whose answer the caller gets, once it is answered. */
  readonly answer: SendId | null;
  readonly refusal: CallRefusal | null;
  /** When the row is dropped after its end. */
  readonly retentionDeadline: Instant;
}

export const SendState = {
  /** Written to the upstream, which has not answered. */
  Running: 'running',
  Ended: 'ended',
} as const;
export type SendState = ValueOf<typeof SendState>;

/** How a send ended. */
export const SendOutcome = {
  Answered: 'answered',
  /** The upstream answered with a failure of its own, and the call goes on. */
  Failed: 'failed',
  NotRun: 'notRun',
  Broken: 'broken',
  /** No answer came in time. */
  Silent: 'silent',
  /** The call ended before an answer came. */
  Abandoned: 'abandoned',
} as const;
export type SendOutcome = ValueOf<typeof SendOutcome>;

export interface SendResult {
  readonly outcome: SendOutcome;
  /** What the port saw, for the log. */
  readonly reason: string;
}

export interface SendRow {
  readonly id: SendId;
  readonly call: CallId;
  readonly upstream: UpstreamId;
  readonly state: SendState;
  /** When it was given to the upstream. */
  readonly startedAt: Instant;
  /** Until when the upstream must have answered. */
  readonly silenceDeadline: Instant;
}

/** What became of a send, as the port reports it. */
export type SendFact =
  /** A complete answer that shows that it belongs to this request. */
  | { readonly kind: 'answered'; readonly send: SendId; readonly status: number }
  /** Certainly not run. */
  | { readonly kind: 'notRun'; readonly send: SendId; readonly reason: string }
  /** May have run, and no usable answer has come. */
  | { readonly kind: 'broken'; readonly send: SendId; readonly reason: string };

const isEndedByState: Readonly<Record<CallState, boolean>> = {
  waiting: false,
  running: false,
  answered: true,
  refused: true,
  cancelled: true,
};

/** Whether nothing more happens to a call. */
export const isEndedCall = (row: CallRow): boolean => isEndedByState[row.state];

export const createForwardingTables = () => ({
  arrivedCalls: createRowQueue<ArrivedCall>('arrivedCalls', RowReader.System),
  /** Calls whose caller has closed the connection. */
  departedCalls: createRowQueue<CallId>('departedCalls', RowReader.System),
  calls: createTable<CallRow, 'waiting', 'offer' | 'call' | 'retention' | 'backoff'>({
    name: 'calls',
    indices: { waiting: (row) => (row.state === CallState.Waiting ? row.service : undefined) },
    deadlines: {
      offer: (row) => (row.state === CallState.Waiting ? row.offerDeadline : never),
      backoff: (row) => (row.state === CallState.Waiting ? row.backoffDeadline : never),
      call: (row) => (isEndedCall(row) ? never : row.callDeadline),
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
