/**
 * The agreed rows of rollouts. All control daemons hold the same; only handlers of commands change them.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { VersionSpan } from '../../traffic/common/trafficTables.js';
import type {
  AttemptId,
  BatchId,
  DaemonId,
  GroupId,
  LotId,
  SampleId,
  ServiceName,
  WorkspaceName,
} from '../../world/common/identifiers.js';
import type { LotFailureKind, SwapPolicy } from './ledgerCommands.js';

export const LotState = {
  Open: 'open',
  /** Every sample is in a batch. */
  Delivered: 'delivered',
  /** Every batch is acknowledged. */
  Acknowledged: 'acknowledged',
  Failed: 'failed',
} as const;
export type LotState = ValueOf<typeof LotState>;

export interface LotRow {
  readonly id: LotId;
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly model: string;
  readonly step: number;
  /** The highest weight version that the trainer has named for this lot. */
  readonly trainerVersion: number;
  /** Weight versions by which a sample may lag behind the trainer. */
  readonly stalenessBound: number;
  readonly swapPolicy: SwapPolicy;
  readonly groupCount: number;
  readonly groupSize: number;
  readonly maximumTokens: number;
  readonly state: LotState;
  readonly failure: LotFailureKind | null;
  /** The daemon that runs the samples. */
  readonly owner: DaemonId;
  /** Fencing number of the owner. */
  readonly epoch: number;
  readonly promptDigest: string;
  /** Daemons that have the prompts on disk. */
  readonly holders: readonly DaemonId[];
  /** The cursor that the next new batch gets. */
  readonly nextCursor: number;
  /** Samples that are in no batch. */
  readonly undelivered: number;
}

export const SampleState = {
  /** Wanted; the owner runs it or will. */
  Planned: 'planned',
  /** Its text is on two disks. */
  Complete: 'complete',
  /** Part of a batch. */
  Assigned: 'assigned',
  Acknowledged: 'acknowledged',
} as const;
export type SampleState = ValueOf<typeof SampleState>;

export interface SampleRow {
  readonly id: SampleId;
  readonly lot: LotId;
  readonly group: GroupId;
  /** Position of its group in the lot, from 0. */
  readonly position: number;
  readonly state: SampleState;
  /** The attempt whose text it has, or null until it is complete. */
  readonly attempt: AttemptId | null;
  readonly spans: readonly VersionSpan[];
  /** Daemons that have its text on disk. */
  readonly holders: readonly DaemonId[];
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
