/**
 * A trainer stand-in: opens lots, fetches their batches in turn, acknowledges each by asking for the
 * next one, and keeps every sample with how often it was delivered. The last batch has no next one and
 * counts as acknowledged when it is received. An entry that fails is left for the next in the list.
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
  /** Base addresses of the entries, the preferred one first; at least one. */
  readonly entries: readonly string[];
  readonly key: string;
  /** Milliseconds before an entry that failed is left for the next one. */
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
  /** Opens a lot and starts to fetch its batches. */
  readonly openLot: (lot: LotRequest) => Promise<Result<LotId, TrainerError>>;
  /** Resolves once the lot is whole, with its samples, or has failed. */
  readonly whenWhole: (lot: LotId) => Promise<Result<readonly SampleRow[], TrainerError>>;
  /** Every sample that was acknowledged, of all lots. */
  readonly samples: () => readonly SampleRow[];
  readonly lots: () => readonly LotRow[];
  readonly counters: () => Readonly<Record<TrainerCounter, number>>;
  readonly dispose: () => Promise<void>;
}

const defaultTrainerSettings: TrainerSettings = { entries: [], key: '', retryDelay: 50 };

const disposedError: TrainerError = {
  kind: 'trainerDisposed',
  message: 'The trainer was disposed of before the lot was whole; dispose of it later.',
};

/** Starts a trainer stand-in. */
export const startTrainer = (chosen: Partial<TrainerSettings> = {}): TrainerStandIn => {
  const settings: TrainerSettings = { ...defaultTrainerSettings, ...chosen };
  const lots = createLotTable();
  const samples = createSampleTable();
  const counters = createCounters(trainerCounterNames);
  const port = createTrainerPort(settings.key);
  const lotEnded = createEmitter<LotRow>();
  const entryAt = (position: number): string =>
    settings.entries[position % settings.entries.length] ?? '';

  const acknowledge = (lot: LotId, batch: Batch | undefined): void =>
    batch?.samples.forEach((sample) => {
      const id: SampleRow['id'] = asBrand(JSON.stringify([lot, sample.sample]));
      const deliveries = (samples.get(id)?.deliveries ?? 0) + 1;
      samples.put({ ...sample, id, lot, deliveries });
    });

  const end = (lot: LotId, columns: Pick<LotRow, 'state' | 'error'>): void => {
    const row = lots.change(lot, columns);
    if (row !== undefined) lotEnded.fire(row);
  };

  const askAgain = (row: LotRow, delay: Milliseconds, columns: Partial<LotRow> = {}): void => {
    const askDeadline = deadlineAfter(monotonicClock(), delay);
    lots.change(row.id, { ...columns, state: LotState.Waiting, askDeadline });
  };

  const answerHandlers: HandlerTable<BatchAnswer, void, [LotRow]> = {
    delivered: ({ batch }, row) => {
      counters.add('batches');
      acknowledge(row.id, row.unacknowledged);
      if (batch.nextCursor !== null) {
        askAgain(row, 0, { cursor: batch.nextCursor, unacknowledged: batch });
        return;
      }
      acknowledge(row.id, batch);
      end(row.id, { state: LotState.Whole, error: undefined });
    },
    notReady: ({ retryAfter }, row) => {
      counters.add('notReady');
      acknowledge(row.id, row.unacknowledged);
      askAgain(row, retryAfter, { unacknowledged: undefined });
    },
    unreachable: (_answer, row) => {
      counters.add('unreachable');
      askAgain(row, settings.retryDelay, { entry: row.entry + 1 });
    },
    refused: ({ error }, row) => {
      counters.add('refused');
      end(row.id, { state: LotState.Failed, error });
    },
  };

  const ask = async (row: LotRow, onDidAnswer: () => void): Promise<void> => {
    const answer = await port.askBatch(entryAt(row.entry), row.id, row.cursor);
    const asked = lots.get(row.id);
    if (asked?.state !== LotState.Asking) return;
    dispatchByKind(answerHandlers, answer, asked);
    onDidAnswer();
  };

  const asking: System = {
    name: 'asking',
    run: (now) =>
      lots.takeDue('ask', now).forEach((row) => {
        lots.change(row.id, { state: LotState.Asking });
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- runs in a later turn
        void ask(row, () => loop.wake());
      }),
  };
  const loop = startLoop([lots, samples], [asking]);

  const outcomeOf = (row: LotRow): Result<readonly SampleRow[], TrainerError> =>
    row.error === undefined ? ok(samples.where('lot', row.id)) : err(row.error);

  const isEnded = (row: LotRow): boolean =>
    row.state === LotState.Whole || row.state === LotState.Failed;

  const insertLot = (id: LotId): LotId => {
    counters.add('lotsOpened');
    lots.put({
      id,
      state: LotState.Waiting,
      cursor: firstCursor,
      unacknowledged: undefined,
      entry: 0,
      askDeadline: monotonicClock(),
      error: undefined,
    });
    loop.wake();
    return id;
  };

  return {
    openLot: async (lot) => {
      const opened = await port.openLot(entryAt(0), lot);
      return opened.map((id) => insertLot(asBrand(id)));
    },
    whenWhole: (lot) =>
      new Promise((resolve) => {
        const row = lots.get(lot);
        if (row !== undefined && isEnded(row)) {
          resolve(outcomeOf(row));
          return;
        }
        const listener = lotEnded.event((ended) => {
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
      const open = [...lots.rows()].filter((row) => !isEnded(row));
      open.forEach((row) => end(row.id, { state: LotState.Failed, error: disposedError }));
      await port.dispose();
    },
  };
};
