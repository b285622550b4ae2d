/**
 * Requests and the attempts by which upstreams run them.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import { WorkClass, type Policy } from '../../configuration/common/tree.js';
import type {
  AttemptId,
  KeyDigest,
  RequestId,
  SampleId,
  ServiceName,
  UpstreamId,
  WorkspaceName,
} from '../../world/common/identifiers.js';
import type { AttemptFact } from './attemptFact.js';
import { createFlowTables, poolIdOf, type FlowId, type PoolId } from './flowTables.js';
import type { Refusal } from './refusal.js';

export const RequestState = {
  /** Decoded by a port and not admitted yet. */
  Arrived: 'arrived',
  /** Admitted; waits for an upstream. */
  Waiting: 'waiting',
  /** Has an attempt that is queued, writing or answering. */
  Running: 'running',
  Answered: 'answered',
  Refused: 'refused',
  Failed: 'failed',
  Cancelled: 'cancelled',
} as const;
export type RequestState = ValueOf<typeof RequestState>;

/** What a port says of a request that it has decoded. */
export interface ArrivedRequest {
  readonly id: RequestId;
  /** The digest of the key that came with the request, or null where none came. */
  readonly keyDigest: KeyDigest | null;
  /** The service that the path or model names, or null where none has it. */
  readonly service: ServiceName | null;
  /** The model or adapter that the request names; none where every upstream of the service will do. */
  readonly model?: string | null;
  /** Digest of the method, path and body; none for requests that the system made itself. */
  readonly digest?: string;
  /** Tokens that the request will take by its own limits: prompt and answer. */
  readonly estimatedTokens: number;
  /** The sample for which the request runs, or null for a caller's request. */
  readonly sample: SampleId | null;
  /** The workspace of a request that the system made itself; null where the key decides. */
  readonly internalWorkspace: WorkspaceName | null;
}

export interface RequestRow extends ArrivedRequest {
  readonly state: RequestState;
  readonly workspace: WorkspaceName | null;
  /** The policy in force at admission, which holds for the whole request. */
  readonly policy: Policy | null;
  readonly workClass: WorkClass;
  /** The flow in which it waits, from admission on. */
  readonly flow: FlowId | null;
  readonly arrivedAt: Instant;
  /** Until when the request may wait for an upstream. */
  readonly queueDeadline: Instant;
  /** Until when the answer must have ended. */
  readonly requestDeadline: Instant;
  /** When the row is dropped after its end. */
  readonly retentionDeadline: Instant;
  readonly attemptCount: number;
  /** Attempts among them that certainly did not run. */
  readonly notRunCount: number;
  /** Whether it waits for `backoffDeadline` before it may be routed again. */
  readonly isDelayed: boolean;
  readonly backoffDeadline: Instant;
  /** Whether any attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Whether bytes of an answer have gone to the caller. */
  readonly answerStarted: boolean;
  readonly refusal: Refusal | null;
}

export const AttemptState = {
  /** An upstream is chosen; no byte is written. */
  Queued: 'queued',
  /** The first byte may have been written. */
  Writing: 'writing',
  /** The upstream has begun to answer. */
  Answering: 'answering',
  Ended: 'ended',
} as const;
export type AttemptState = ValueOf<typeof AttemptState>;

/** Tokens in a row that one weight version on one start of an engine has made. */
export interface VersionSpan {
  readonly weightVersion: number;
  readonly incarnation: number;
  readonly tokens: number;
}

/** What an attempt of a work class adds to the bulk attempts of an upstream. */
export const bulkAttemptCounts: Readonly<Record<WorkClass, number>> = { prompt: 0, bulk: 1 };

export interface AttemptRow {
  readonly id: AttemptId;
  readonly request: RequestId;
  readonly upstream: UpstreamId;
  readonly service: ServiceName;
  readonly workClass: WorkClass;
  /** Whether an upstream has crashed before while it ran this request. */
  readonly isSuspect: boolean;
  readonly state: AttemptState;
  /** Until when the upstream must show progress. */
  readonly progressDeadline: Instant;
  readonly estimatedTokens: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly spans: readonly VersionSpan[];
  /** Tokens for which the engine named no weight version. */
  readonly unversionedTokens: number;
}

/** The pool whose upstreams can run an admitted request. */
export const poolIdOfRequest = (row: RequestRow): PoolId =>
  poolIdOf(row.service!, row.model ?? null);

/** The only group of the orders over all workspaces. */
export const allWorkspacesGroup = 'all';

const isRoutable = (row: RequestRow): boolean =>
  row.state === RequestState.Waiting && !row.isDelayed;

const isWaitingCaller = (row: RequestRow): boolean =>
  row.state === RequestState.Waiting && row.sample === null;

const isWaitingBulk = (row: RequestRow): boolean =>
  isWaitingCaller(row) && row.workClass === WorkClass.Bulk;

const workspaceStateKeyOf = (row: RequestRow): string | undefined => {
  if (row.workspace === null || row.sample !== null) return undefined;
  return `${row.state}|${row.workspace}`;
};

const createRequestTable = () =>
  createTable<
    RequestRow,
    'waitingFor' | 'state' | 'key' | 'workspaceState' | 'callerWaiting' | 'flow',
    'queue' | 'request' | 'retention' | 'backoff',
    never,
    'flow' | 'newestBulk' | 'newestBulkOfAll'
  >({
    name: 'requests',
    indices: {
      waitingFor: (row) => (isRoutable(row) ? poolIdOfRequest(row) : undefined),
      state: (row) => row.state,
      key: (row) => row.keyDigest ?? undefined,
      workspaceState: workspaceStateKeyOf,
      callerWaiting: (row) => (isWaitingCaller(row) ? allWorkspacesGroup : undefined),
      flow: (row) => (isRoutable(row) ? row.flow! : undefined),
    },
    orders: {
      flow: {
        group: (row) => (isRoutable(row) ? row.flow! : undefined),
        rank: (row) => row.arrivedAt,
      },
      newestBulk: {
        group: (row) => (isWaitingBulk(row) ? (row.workspace ?? undefined) : undefined),
        rank: (row) => -row.arrivedAt,
      },
      newestBulkOfAll: {
        group: (row) => (isWaitingBulk(row) ? allWorkspacesGroup : undefined),
        rank: (row) => -row.arrivedAt,
      },
    },
    deadlines: {
      queue: (row) => (row.state === RequestState.Waiting ? row.queueDeadline : never),
      request: (row) =>
        row.state === RequestState.Waiting || row.state === RequestState.Running
          ? row.requestDeadline
          : never,
      retention: (row) => row.retentionDeadline,
      backoff: (row) => (row.isDelayed ? row.backoffDeadline : never),
    },
  });

export const createTrafficTables = () => ({
  ...createFlowTables(),
  requests: createRequestTable(),
  attempts: createTable<AttemptRow, 'request' | 'upstream' | 'suspectOn', 'progress'>({
    name: 'attempts',
    indices: {
      request: (row) => row.request,
      upstream: (row) => row.upstream,
      suspectOn: (row) =>
        row.isSuspect && row.state !== AttemptState.Ended ? row.upstream : undefined,
    },
    deadlines: {
      progress: (row) => (row.state === AttemptState.Ended ? never : row.progressDeadline),
    },
  }),
  /** Requests whose caller has closed the connection. */
  departures: createRowQueue<RequestId>('departures', RowReader.System),
  attemptFacts: createRowQueue<AttemptFact>('attemptFacts', RowReader.System),
});
export type TrafficTables = ReturnType<typeof createTrafficTables>;
