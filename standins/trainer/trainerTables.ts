/**
 * The tables of the trainer stand-in: its lots and the acknowledged samples.
 */
import type { Brand } from '../../src/base/common/brand.js';
import type { ValueOf } from '../../src/base/common/handlers.js';
import { never, type Instant } from '../../src/base/common/time.js';
import { createTable } from '../../src/infrastructure/tables/common/table.js';
import type { Batch, Sample } from './trainerProtocol.js';

export type LotId = Brand<'trainerLot'>;

/** Why a lot was not opened or not completed. */
export type TrainerError =
  | { readonly kind: 'entryUnreachable'; readonly message: string }
  | { readonly kind: 'lotRefused'; readonly status: number; readonly message: string }
  | { readonly kind: 'answerNotUnderstood'; readonly message: string }
  | { readonly kind: 'trainerDisposed'; readonly message: string };

/** Lifecycle states of a lot. */
export const LotState = {
  /** Requests the next batch at its deadline. */
  Waiting: 'waiting',
  /** Waits for the answer to a batch request. */
  Requesting: 'asking',
  Complete: 'whole',
  Failed: 'failed',
} as const;
export type LotState = ValueOf<typeof LotState>;

/** A lot and its delivery progress. */
export interface LotRow {
  readonly id: LotId;
  readonly state: LotState;
  /** The cursor of the batch to request next. */
  readonly cursor: string;
  /** The batch that the next request acknowledges. */
  readonly unacknowledged: Batch | undefined;
  /** Index of the current entry; taken modulo the number of entries. */
  readonly entry: number;
  readonly requestDeadline: Instant;
  readonly error: TrainerError | undefined;
}

/** An acknowledged sample. */
export interface SampleRow extends Sample {
  readonly id: Brand<'trainerSample'>;
  readonly lot: LotId;
  /** How often it was delivered; exactly once in the absence of duplicates. */
  readonly deliveries: number;
}

/** Creates the table of lots. */
export const createLotTable = () =>
  createTable<LotRow, 'state', 'ask'>({
    name: 'trainerLots',
    indices: { state: (row) => row.state },
    deadlines: { ask: (row) => (row.state === LotState.Waiting ? row.requestDeadline : never) },
  });
export type LotTable = ReturnType<typeof createLotTable>;

/** Creates the table of samples. */
export const createSampleTable = () =>
  createTable<SampleRow, 'lot'>({
    name: 'trainerSamples',
    indices: { lot: (row) => row.lot },
    deadlines: {},
  });
export type SampleTable = ReturnType<typeof createSampleTable>;
