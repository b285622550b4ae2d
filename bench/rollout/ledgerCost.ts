/**
 * What a sample costs the ledger: bytes in the log, time to apply its commands, and memory of its rows.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { asBrand } from '../../src/base/common/brand.js';
import { createRandom } from '../../src/base/common/random.js';
import { noopMetrics } from '../../src/infrastructure/metrics/common/metrics.js';
import { encodeFrame } from '../../src/infrastructure/wire/node/frames.js';
import type { Command } from '../../src/service/consensus/common/command.js';
import type { CommittedEntry } from '../../src/service/consensus/common/consensusTables.js';
import { createCore, type Core } from '../../src/service/core/common/core.js';
import {
  createLotOpened,
  type LotSpecification,
} from '../../src/service/rollout/common/openLot.js';
import { createTestDeployment, createTestTree } from '../../standins/virtual/testDeployment.js';
import type { Measurement } from '../measurement.js';

const groupCount = 512;
const groupSize = 8;
const samplesInALot = groupCount * groupSize;
const completionsInACommand = 16;
const groupsInABatch = 32;
const trainers = 12;

const wish: LotSpecification = {
  workspace: asBrand('one'),
  service: asBrand('model'),
  model: 'model',
  step: 1,
  trainerVersion: 5,
  stalenessBound: 1,
  groupCount,
  groupSize,
  maximumTokens: 1_000,
  remaining: 600_000,
  request: 'step-1',
};

const createLedgerCore = (): Core => {
  const deployment = createTestDeployment(3, 3);
  const self = deployment.daemons[2]!;
  const tree = createTestTree();
  const random = createRandom(1);
  return createCore({ deployment, self, tree, incarnation: 1, random, metrics: noopMetrics }, 0);
};

const chunksOf = <Value>(values: readonly Value[], size: number): Value[][] =>
  Array.from({ length: Math.ceil(values.length / size) }, (_, index) =>
    values.slice(index * size, (index + 1) * size),
  );

const sampleNames = (lot: string): string[] =>
  Array.from({ length: samplesInALot }, (_, index) => {
    const group = Math.floor(index / groupSize);
    return `${lot}/${group}/${index % groupSize}`;
  });

/** Every command in the life of a lot whose owner is another daemon. */
const commandsOf = (opened: Command & { readonly kind: 'lotOpened' }): Command[] => {
  const { lot } = opened;
  const names = sampleNames(lot);
  const completions = chunksOf(names, completionsInACommand).map((chunk) => ({
    kind: 'samplesCompleted' as const,
    lot,
    epoch: 0,
    samples: chunk.map((sample, index) => ({
      sample,
      attempt: `attempt-gp-north-1.mx8qy85i-${index}`,
      holders: ['gp-north-1', 'gp-south-1'],
      spans: [{ weightVersion: 5, incarnation: 1, tokens: 400 }],
    })),
  }));
  const batches = chunksOf(names, groupsInABatch * groupSize).map((samples, cursor) => ({
    kind: 'batchAssigned' as const,
    lot,
    cursor,
    trainerVersion: 5,
    samples,
  }));
  const end = { kind: 'trainerAdvanced' as const, lot, cursor: batches.length, trainerVersion: 5 };
  return [opened, ...completions, ...batches, end];
};

const entriesOf = (commands: readonly Command[]): CommittedEntry[] =>
  commands.map((command, index) => ({
    index: index + 1,
    term: 1,
    proposal: asBrand(`proposal-gp-north-1.mx8qy85i-${index}`),
    origin: 'gp-north-1',
    command,
  }));

const openedIn = (core: Core, request: string) => ({
  ...createLotOpened(core.world, { ...wish, request }, 'd'.repeat(64)),
  owner: 'd1',
});

const applyAll = (core: Core, entries: readonly CommittedEntry[]): void =>
  entries.forEach((entry) => {
    core.world.committedEntries.append(entry);
    core.ticker.tick(1);
    core.world.events.takeAll();
    core.world.outgoingMessages.takeAll();
  });

const microsecondsInAMillisecond = 1_000;

const measureApplication = (): Measurement[] => {
  const core = createLedgerCore();
  const entries = entriesOf(commandsOf(openedIn(core, 'measured')));
  applyAll(core, entriesOf(commandsOf(openedIn(core, 'warm-up'))));
  const start = performance.now();
  applyAll(core, entries);
  const elapsed = (performance.now() - start) * microsecondsInAMillisecond;
  const bytes = entries.reduce((sum, entry) => sum + encodeFrame(entry).length, 0);
  return [
    { name: 'ledger_log_bytes_a_sample', value: bytes / samplesInALot, unit: 'B' },
    { name: 'ledger_apply_a_sample', value: elapsed / samplesInALot, unit: 'us' },
  ];
};

const usedHeap = (): number => {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
};

const measureMemory = (): Measurement[] => {
  const core = createLedgerCore();
  const before = usedHeap();
  const opened = Array.from({ length: trainers }, (_, index) => openedIn(core, `lot-${index}`));
  applyAll(core, entriesOf(opened));
  const planned = usedHeap();
  opened.forEach((each) => applyAll(core, entriesOf(commandsOf(each).slice(1, -1))));
  const assigned = usedHeap();
  const samples = core.world.samples.size();
  return [
    { name: 'ledger_rows_planned_a_sample', value: (planned - before) / samples, unit: 'B' },
    { name: 'ledger_rows_assigned_a_sample', value: (assigned - before) / samples, unit: 'B' },
    { name: 'ledger_rows_12_lots_of_4096', value: (assigned - before) / 1_048_576, unit: 'MiB' },
  ];
};

/** Measures the cost of the ledger at 12 trainers with 4,096 samples each. */
export const measureLedgerCost = (): Measurement[] => [...measureApplication(), ...measureMemory()];
