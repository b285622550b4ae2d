/**
 * The tables of the model engine stand-in: its condition, the received requests, the pending output
 * and the executed orders.
 */
import { asBrand, type Brand } from '../../src/base/common/brand.js';
import type { ValueOf } from '../../src/base/common/handlers.js';
import { never, type Instant } from '../../src/base/common/time.js';
import { createTable } from '../../src/infrastructure/tables/common/table.js';
import type { EngineOrder } from '../../src/service/protocol/common/engineProtocol.js';
import { UpstreamState } from '../../src/service/protocol/common/upstreamProtocol.js';
import type { FaultPlan } from '../faults/faults.js';
import type { EngineSettings } from './engineSettings.js';

export type RequestId = Brand<'engineRequest'>;

/** Lifecycle states of a request. */
export const RequestState = {
  /** Waits for a slot. */
  Queued: 'queued',
  /** Generates its next token at its deadline. */
  Generating: 'generating',
  /** Occupies its slot and sends nothing more. */
  Silent: 'silent',
  /** Was answered completely. */
  Finished: 'finished',
  /** Its caller closed the connection. */
  Cancelled: 'cancelled',
  /** The engine cut the connection. */
  Crashed: 'crashed',
  /** Was refused before it started. */
  Refused: 'refused',
} as const;
export type RequestState = ValueOf<typeof RequestState>;

/** The states in which a request occupies a slot. */
export const runningStates: readonly RequestState[] = [
  RequestState.Generating,
  RequestState.Silent,
];

/** The states in which a request has not ended. */
export const openStates: readonly RequestState[] = [RequestState.Queued, ...runningStates];

/** A received request and its progress. */
export interface EngineRequestRow {
  readonly id: RequestId;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** The body text as received. */
  readonly body: string;
  readonly model: string;
  readonly prompt: string;
  readonly isStreamed: boolean;
  /** Scheduling priority; lower values are scheduled first. */
  readonly priority: number;
  readonly plan: FaultPlan;
  readonly state: RequestState;
  /** Position of the first requested token. */
  readonly firstToken: number;
  /** Position after the last token. */
  readonly endToken: number;
  /** Number of generated tokens; for a stream, the same number were sent. */
  readonly tokensSent: number;
  /** The weight versions that generated the tokens, in order, without consecutive repetitions. */
  readonly weightVersions: readonly number[];
  readonly nextTokenDeadline: Instant;
}

/** Kinds of output that the port writes for a request. */
export const OutputKind = {
  Token: 'token',
  End: 'end',
  Cut: 'cut',
  Refusal: 'refusal',
} as const;
export type OutputKind = ValueOf<typeof OutputKind>;

interface OutputBase {
  readonly id: Brand<'engineOutput'>;
  readonly request: RequestId;
}

/**
 * One output for the port to write. `weightVersion` is undefined if the engine does not report it.
 */
export type EngineOutputRow = OutputBase &
  (
    | {
        readonly kind: typeof OutputKind.Token;
        readonly text: string;
        readonly weightVersion: number | undefined;
        readonly incarnation: number;
      }
    | {
        readonly kind: typeof OutputKind.End;
        readonly weightVersion: number | undefined;
        readonly incarnation: number;
      }
    | { readonly kind: typeof OutputKind.Cut }
    | { readonly kind: typeof OutputKind.Refusal }
  );

/** Creates the table of requests. */
export const createRequestTable = () =>
  createTable<EngineRequestRow, 'state', 'nextToken'>({
    name: 'engineRequests',
    indices: { state: (row) => row.state },
    deadlines: {
      nextToken: (row) => (row.state === RequestState.Generating ? row.nextTokenDeadline : never),
    },
  });
export type RequestTable = ReturnType<typeof createRequestTable>;

/** Creates the table of pending outputs. */
export const createOutputTable = () =>
  createTable<EngineOutputRow>({ name: 'engineOutputs', indices: {}, deadlines: {} });
export type OutputTable = ReturnType<typeof createOutputTable>;

/** The mutable state of the engine; the table has exactly one row. */
export interface EngineConditionRow {
  readonly id: Brand<'engineCondition'>;
  readonly weightVersion: number;
  readonly incarnation: number;
  readonly role: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly state: UpstreamState;
  /** The instant at which the VM terminates; `never` unless the state is leaving. */
  readonly terminationDeadline: Instant;
}

const conditionId: EngineConditionRow['id'] = asBrand('engine');

/** Creates the condition table with its initial row. */
export const createConditionTable = (settings: EngineSettings) => {
  const table = createTable<EngineConditionRow>({
    name: 'engineConditions',
    indices: {},
    deadlines: {},
  });
  table.put({
    id: conditionId,
    weightVersion: settings.weightVersion,
    incarnation: settings.incarnation,
    role: 'serve',
    models: settings.models,
    adapters: settings.adapters,
    state: UpstreamState.Serving,
    terminationDeadline: never,
  });
  return {
    table,
    read: (): EngineConditionRow => table.get(conditionId)!,
    change: (columns: Partial<Omit<EngineConditionRow, 'id'>>): void => {
      table.change(conditionId, columns);
    },
  };
};
export type EngineCondition = ReturnType<typeof createConditionTable>;

/** An executed order. */
export interface EngineOrderRow extends EngineOrder {
  readonly id: Brand<'engineOrder'>;
}

/** Creates the table of executed orders, oldest first. */
export const createOrderTable = () =>
  createTable<EngineOrderRow>({ name: 'engineOrders', indices: {}, deadlines: {} });
export type OrderTable = ReturnType<typeof createOrderTable>;
