/**
 * The replicated rows of rollouts: lots, samples and batches. They are identical on all control
 * daemons, and only the handlers of ledger commands may change them.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Milliseconds } from '../../../base/common/time.js';
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

/** States of a lot. */
export const LotState = {
  Open: 'open',
  /** Every sample is in a batch. */
  Delivered: 'delivered',
  /** Every batch is acknowledged. */
  Acknowledged: 'acknowledged',
  Failed: 'failed',
} as const;
export type LotState = ValueOf<typeof LotState>;

/** A lot: the samples that a trainer requests for one training step. */
export interface LotRow {
  readonly id: LotId;
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly model: string;
  readonly step: number;
  /** The highest weight version that the trainer has reported for this lot. */
  readonly trainerVersion: number;
  /** Maximum number of weight versions by which a sample may lag behind the trainer. */
  readonly stalenessBound: number;
  readonly swapPolicy: SwapPolicy;
  readonly groupCount: number;
  readonly groupSize: number;
  readonly maximumTokens: number;
  readonly state: LotState;
  readonly failure: LotFailureKind | null;
  /** The daemon that runs the samples. */
  readonly owner: DaemonId;
  /** Fencing token of the owner. */
  readonly epoch: number;
  readonly promptDigest: string;
  /** Daemons that store the prompts on disk. */
  readonly holders: readonly DaemonId[];
  /** The cursor that the next new batch is assigned to. */
  readonly nextCursor: number;
  /** Number of samples that are not in a batch. */
  readonly undelivered: number;
  /**
   * Milliseconds that were left to deliver the lot when it was opened, from which each daemon derives
   * a deadline on its own clock.
   */
  readonly remaining: Milliseconds;
}

/** States of a sample. */
export const SampleState = {
  /** Not complete; the owner runs it or will run it. */
  Planned: 'planned',
  /** Its text is on two disks. */
  Complete: 'complete',
  /** Assigned to a batch. */
  Assigned: 'assigned',
  Acknowledged: 'acknowledged',
} as const;
export type SampleState = ValueOf<typeof SampleState>;

/** A sample of a lot and, once it is complete, where its text is stored. */
export interface SampleRow {
  readonly id: SampleId;
  readonly lot: LotId;
  readonly group: GroupId;
  /** Position of its group in the lot, from 0. */
  readonly position: number;
  readonly state: SampleState;
  /** The attempt that produced its text, or null until the sample is complete. */
  readonly attempt: AttemptId | null;
  readonly spans: readonly VersionSpan[];
  /** Daemons that store its text on disk. */
  readonly holders: readonly DaemonId[];
}

/** The samples that a trainer receives for one cursor; the same cursor returns the same batch. */
export interface BatchRow {
  readonly id: BatchId;
  readonly lot: LotId;
  readonly cursor: number;
  readonly samples: readonly SampleId[];
  /** The cursor to request next, or null for the last batch of the lot. */
  readonly nextCursor: number | null;
  readonly acknowledged: boolean;
}
