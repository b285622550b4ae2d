/**
 * The tables of the model engine stand-in: its own condition, the requests it was sent, what it has to
 * write to them, and the orders it carried out.
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

/** Where a request stands. */
export const RequestState = {
  /** Waits for a slot. */
  Queued: 'queued',
  /** Makes tokens, or will make the next one at its deadline. */
  Generating: 'generating',
  /** Holds its slot and says nothing more. */
  Silent: 'silent',
  /** Was answered whole. */
  Finished: 'finished',
  /** Its caller closed the connection. */
  Cancelled: 'cancelled',
  /** The engine cut the connection. */
  Crashed: 'crashed',
  /** Was refused before it ran. */
  Refused: 'refused',
} as const;
export type RequestState = ValueOf<typeof RequestState>;

/** The states in which a request holds a slot. */
export const runningStates: readonly RequestState[] = [
  RequestState.Generating,
  RequestState.Silent,
];

/** The states in which a request may still be answered. */
export const openStates: readonly RequestState[] = [RequestState.Queued, ...runningStates];

/** A request, as it came and as far as it got. */
export interface EngineRequestRow {
  readonly id: RequestId;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** The body as it came. */
  readonly body: string;
  readonly model: string;
  readonly prompt: string;
  readonly isStreamed: boolean;
  /** Scheduling priority; lower goes first. */
  readonly priority: number;
  readonly plan: FaultPlan;
  readonly state: RequestState;
  /** Position of the first token that was asked for. */
  readonly firstToken: number;
  /** Position after the last token. */
  readonly endToken: number;
  /** Tokens made so far by this request; for a stream, as many were sent. */
  readonly tokensSent: number;
  /** The weight versions that made the tokens, in order, without repetition. */
  readonly weightVersions: readonly number[];
  readonly nextTokenDeadline: Instant;
}

/** What the port has to do for a request. */
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

/** An instruction to the port. `weightVersion` is undefined where the engine does not name it. */
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

/** Creates the table of instructions to the port. */
export const createOutputTable = () =>
  createTable<EngineOutputRow>({ name: 'engineOutputs', indices: {}, deadlines: {} });
export type OutputTable = ReturnType<typeof createOutputTable>;

/** What changes about the engine while it runs; the table has this one row. */
export interface EngineConditionRow {
  readonly id: Brand<'engineCondition'>;
  readonly weightVersion: number;
  readonly incarnation: number;
  readonly role: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly state: UpstreamState;
  /** When the VM is gone; `never` unless the state is leaving. */
  readonly goneDeadline: Instant;
}

const conditionId: EngineConditionRow['id'] = asBrand('engine');

/** Creates the table of the condition, with its row as it is right after a start. */
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
    goneDeadline: never,
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

/** An order that was carried out. */
export interface EngineOrderRow extends EngineOrder {
  readonly id: Brand<'engineOrder'>;
}

/** Creates the table of orders, oldest first. */
export const createOrderTable = () =>
  createTable<EngineOrderRow>({ name: 'engineOrders', indices: {}, deadlines: {} });
export type OrderTable = ReturnType<typeof createOrderTable>;
