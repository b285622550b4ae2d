/**
 * A trainer stand-in: opens lots, fetches their batches in order and records every acknowledged
 * sample with its number of deliveries. Requesting the next batch acknowledges the previous one;
 * the last batch counts as acknowledged when it is received. If an entry fails, the next entry in
 * the list is used.
 */
import { err, ok, type Result } from 'neverthrow';
import { asBrand } from '../../src/base/common/brand.js';
import { createEmitter } from '../../src/base/common/emitter.js';
import { dispatchByKind, type HandlerTable } from '../../src/base/common/handlers.js';
import { deadlineAfter, type Milliseconds } from '../../src/base/common/time.js';
import { monotonicClock } from '../../src/base/node/monotonicClock.js';
import type { System } from '../../src/infrastructure/tables/common/tick.js';
import { createCounters } from '../common/counters.js';
import { startLoop } from '../common/nodeLoop.js';
import { createTrainerPort, type BatchAnswer } from './trainerPort.js';
import { firstCursor, type Batch, type LotRequest } from './trainerProtocol.js';
import {
  createLotTable,
  createSampleTable,
  LotState,
  type LotId,
  type LotRow,
  type SampleRow,
  type TrainerError,
} from './trainerTables.js';

/** Settings of a trainer stand-in. */
export interface TrainerSettings {
  /** Base addresses of the entries in order of preference; at least one. */
  readonly entries: readonly string[];
  readonly key: string;
  /** Milliseconds to wait before retrying at the next entry. */
  readonly retryDelay: Milliseconds;
}

const trainerCounterNames = [
  'lotsOpened',
  'batches',
  'notReady',
  'unreachable',
  'refused',
] as const;
export type TrainerCounter = (typeof trainerCounterNames)[number] | 'samples' | 'doubles';

/** A running trainer stand-in. */
export interface TrainerStandIn {
  /** Opens a lot and starts fetching its batches. */
  readonly openLot: (lot: LotRequest) => Promise<Result<LotId, TrainerError>>;
  /** Resolves with the samples when the lot is complete, or with the error when it has failed. */
  readonly whenComplete: (lot: LotId) => Promise<Result<readonly SampleRow[], TrainerError>>;
  /** Every acknowledged sample of all lots. */
  readonly samples: () => readonly SampleRow[];
  readonly lots: () => readonly LotRow[];
  readonly counters: () => Readonly<Record<TrainerCounter, number>>;
  readonly dispose: () => Promise<void>;
}

const defaultTrainerSettings: TrainerSettings = { entries: [], key: '', retryDelay: 50 };

const disposedError: TrainerError = {
  kind: 'trainerDisposed',
  message: 'The trainer was disposed of before the lot was complete; wait for the lot first.',
};

/** Starts a trainer stand-in. */
export const startTrainer = (overrides: Partial<TrainerSettings> = {}): TrainerStandIn => {
  const settings: TrainerSettings = { ...defaultTrainerSettings, ...overrides };
  const lots = createLotTable();
  const samples = createSampleTable();
  const counters = createCounters(trainerCounterNames);
  const port = createTrainerPort(settings.key);
  const lotEndedEmitter = createEmitter<LotRow>();
  const selectEntry = (position: number): string =>
    settings.entries[position % settings.entries.length] ?? '';

  const recordAcknowledgedSamples = (lot: LotId, batch: Batch | undefined): void =>
    batch?.samples.forEach((sample) => {
      const id: SampleRow['id'] = asBrand(JSON.stringify([lot, sample.sample]));
      const deliveries = (samples.get(id)?.deliveries ?? 0) + 1;
      samples.put({ ...sample, id, lot, deliveries });
    });

  const endLot = (lot: LotId, columns: Pick<LotRow, 'state' | 'error'>): void => {
    const row = lots.change(lot, columns);
    if (row !== undefined) lotEndedEmitter.fire(row);
  };

  const scheduleBatchRequest = (
    row: LotRow,
    delay: Milliseconds,
    columns: Partial<LotRow> = {},
  ): void => {
    const requestDeadline = deadlineAfter(monotonicClock(), delay);
    lots.change(row.id, { ...columns, state: LotState.Waiting, requestDeadline });
  };

  const answerHandlers: HandlerTable<BatchAnswer, void, [LotRow]> = {
    delivered: ({ batch }, row) => {
      counters.add('batches');
      recordAcknowledgedSamples(row.id, row.unacknowledged);
      if (batch.nextCursor !== null) {
        scheduleBatchRequest(row, 0, { cursor: batch.nextCursor, unacknowledged: batch });
        return;
      }
      recordAcknowledgedSamples(row.id, batch);
      endLot(row.id, { state: LotState.Complete, error: undefined });
    },
    notReady: ({ retryAfter }, row) => {
      counters.add('notReady');
      recordAcknowledgedSamples(row.id, row.unacknowledged);
      scheduleBatchRequest(row, retryAfter, { unacknowledged: undefined });
    },
    unreachable: (_answer, row) => {
      counters.add('unreachable');
      scheduleBatchRequest(row, settings.retryDelay, { entry: row.entry + 1 });
    },
    refused: ({ error }, row) => {
      counters.add('refused');
      endLot(row.id, { state: LotState.Failed, error });
    },
  };

  const requestBatch = async (row: LotRow, onDidAnswer: () => void): Promise<void> => {
    const answer = await port.requestBatch(selectEntry(row.entry), row.id, row.cursor);
    const currentRow = lots.get(row.id);
    if (currentRow?.state !== LotState.Requesting) return;
    dispatchByKind(answerHandlers, answer, currentRow);
    onDidAnswer();
  };

  const batchRequestSystem: System = {
    name: 'asking',
    run: (now) =>
      lots.takeDue('ask', now).forEach((row) => {
        lots.change(row.id, { state: LotState.Requesting });
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after creation
        void requestBatch(row, () => loop.wake());
      }),
  };
  const loop = startLoop([lots, samples], [batchRequestSystem]);

  const outcomeOf = (row: LotRow): Result<readonly SampleRow[], TrainerError> =>
    row.error === undefined ? ok(samples.where('lot', row.id)) : err(row.error);

  const isEnded = (row: LotRow): boolean =>
    row.state === LotState.Complete || row.state === LotState.Failed;

  const insertLot = (id: LotId): LotId => {
    counters.add('lotsOpened');
    lots.put({
      id,
      state: LotState.Waiting,
      cursor: firstCursor,
      unacknowledged: undefined,
      entry: 0,
      requestDeadline: monotonicClock(),
      error: undefined,
    });
    loop.wake();
    return id;
  };

  return {
    openLot: async (lot) => {
      const opened = await port.openLot(selectEntry(0), lot);
      return opened.map((id) => insertLot(asBrand(id)));
    },
    whenComplete: (lot) =>
      new Promise((resolve) => {
        const row = lots.get(lot);
        if (row !== undefined && isEnded(row)) {
          resolve(outcomeOf(row));
          return;
        }
        const listener = lotEndedEmitter.event((ended) => {
          if (ended.id !== lot) return;
          listener.dispose();
          resolve(outcomeOf(ended));
        });
      }),
    samples: () => [...samples.rows()],
    lots: () => [...lots.rows()],
    counters: () => ({
      ...counters.read(),
      samples: samples.size(),
      doubles: [...samples.rows()].reduce((sum, row) => sum + row.deliveries - 1, 0),
    }),
    dispose: async () => {
      loop.dispose();
      const openLots = [...lots.rows()].filter((row) => !isEnded(row));
      openLots.forEach((row) => endLot(row.id, { state: LotState.Failed, error: disposedError }));
      await port.dispose();
    },
  };
};
