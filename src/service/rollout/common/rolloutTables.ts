/**
 * Rollouts: a lot is what a trainer wants for one step; it is planned as groups of samples, and each
 * sample is one request. Texts stay in the ports; rows hold facts.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type Instant } from '../../../base/common/time.js';
import { createTable } from '../../../platform/tables/common/table.js';
import type { VersionSpan } from '../../traffic/common/trafficTables.js';
import type {
  AttemptId,
  BatchId,
  FetchId,
  GroupId,
  LotId,
  RequestId,
  SampleId,
  ServiceName,
  WorkspaceName,
} from '../../world/common/identifiers.js';

export const LotState = { Open: 'open', Delivered: 'delivered', Failed: 'failed' } as const;
export type LotState = ValueOf<typeof LotState>;

export interface LotRow {
  readonly id: LotId;
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly model: string;
  readonly step: number;
  /** The weight version that the trainer ran when it last asked. */
  readonly trainerVersion: number;
  /** Weight versions by which a sample may lag behind the trainer. */
  readonly stalenessBound: number;
  readonly groupSize: number;
  readonly maximumTokens: number;
  readonly state: LotState;
  readonly lotDeadline: Instant;
  /** The cursor that the next new batch gets. */
  readonly nextCursor: number;
}

export interface GroupRow {
  readonly id: GroupId;
  readonly lot: LotId;
  /** Position in the lot, from 0. */
  readonly position: number;
}

export const SampleState = {
  /** Wanted; no request has been made. */
  Planned: 'planned',
  Running: 'running',
  Complete: 'complete',
  /** Part of a batch that the trainer has been given. */
  Assigned: 'assigned',
  Acknowledged: 'acknowledged',
} as const;
export type SampleState = ValueOf<typeof SampleState>;

export interface SampleRow {
  readonly id: SampleId;
  readonly lot: LotId;
  readonly group: GroupId;
  readonly state: SampleState;
  /** When the planner makes a request for it, while it is planned. */
  readonly planDeadline: Instant;
  /** The request that runs for it now, or null. */
  readonly request: RequestId | null;
  /** The attempt whose text it has, or null until it is complete. */
  readonly attempt: AttemptId | null;
  readonly spans: readonly VersionSpan[];
}

/** The part of a lot that a trainer gets for one cursor; the same cursor gets the same batch again. */
export interface BatchRow {
  readonly id: BatchId;
  readonly lot: LotId;
  readonly cursor: number;
  readonly samples: readonly SampleId[];
  /** The cursor to ask for next, or null after the last batch of the lot. */
  readonly nextCursor: number | null;
  readonly acknowledged: boolean;
}

export const FetchState = {
  Arrived: 'arrived',
  /** Nothing is ready yet; the answer waits until the deadline of the fetch. */
  Waiting: 'waiting',
  Ready: 'ready',
  NotReady: 'notReady',
  Refused: 'refused',
} as const;
export type FetchState = ValueOf<typeof FetchState>;

/** A trainer's question for the batch of a cursor. */
export interface FetchRow {
  readonly id: FetchId;
  readonly lot: LotId;
  readonly workspace: WorkspaceName;
  readonly cursor: number;
  readonly trainerVersion: number | null;
  readonly state: FetchState;
  readonly fetchDeadline: Instant;
  readonly batch: BatchId | null;
}

export const createRolloutTables = () => ({
  lots: createTable<LotRow, 'state', 'lot'>({
    name: 'lots',
    indices: { state: (row) => row.state },
    deadlines: { lot: (row) => (row.state === LotState.Open ? row.lotDeadline : never) },
  }),
  groups: createTable<GroupRow, 'lot'>({
    name: 'groups',
    indices: { lot: (row) => row.lot },
    deadlines: {},
  }),
  samples: createTable<SampleRow, 'lot' | 'group' | 'groupState', 'plan'>({
    name: 'samples',
    indices: {
      lot: (row) => row.lot,
      group: (row) => row.group,
      groupState: (row) => `${row.group}/${row.state}`,
    },
    deadlines: {
      plan: (row) => (row.state === SampleState.Planned ? row.planDeadline : never),
    },
  }),
  batches: createTable<BatchRow, 'lot'>({
    name: 'batches',
    indices: { lot: (row) => row.lot },
    deadlines: {},
  }),
  fetches: createTable<FetchRow, 'lot', 'fetch'>({
    name: 'fetches',
    indices: { lot: (row) => row.lot },
    deadlines: {
      fetch: (row) => (row.state === FetchState.Waiting ? row.fetchDeadline : never),
    },
  }),
});
export type RolloutTables = ReturnType<typeof createRolloutTables>;
