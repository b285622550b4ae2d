/**
 * The tables of the trainer stand-in: its lots, and the samples that it has acknowledged.
 */
import type { Brand } from '../../src/base/common/brand.js';
import type { ValueOf } from '../../src/base/common/handlers.js';
import { never, type Instant } from '../../src/base/common/time.js';
import { createTable } from '../../src/infrastructure/tables/common/table.js';
import type { Batch, Sample } from './trainerProtocol.js';

export type LotId = Brand<'trainerLot'>;

/** Why a lot did not come whole, or was not opened. */
export type TrainerError =
  | { readonly kind: 'entryUnreachable'; readonly message: string }
  | { readonly kind: 'lotRefused'; readonly status: number; readonly message: string }
  | { readonly kind: 'answerNotUnderstood'; readonly message: string }
  | { readonly kind: 'trainerDisposed'; readonly message: string };

/** Where a lot stands. */
export const LotState = {
  /** Asks for its next batch at its deadline. */
  Waiting: 'waiting',
  /** Has asked and has no answer yet. */
  Requesting: 'asking',
  Complete: 'whole',
  Failed: 'failed',
} as const;
export type LotState = ValueOf<typeof LotState>;

/** A lot, as far as it was delivered. */
export interface LotRow {
  readonly id: LotId;
  readonly state: LotState;
  /** The batch that is asked for next. */
  readonly cursor: string;
  /** The batch that the next question acknowledges. */
  readonly unacknowledged: Batch | undefined;
  /** Position in the list of entries. */
  readonly entry: number;
  readonly requestDeadline: Instant;
  readonly error: TrainerError | undefined;
}

/** A sample that was acknowledged. */
export interface SampleRow extends Sample {
  readonly id: Brand<'trainerSample'>;
  readonly lot: LotId;
  /** How often it was delivered; once where all is well. */
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
