/**
 * Measures the cost of a sample in the ledger: bytes in the log, time to apply its commands, and memory
 * of its rows.
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
const samplesPerLot = groupCount * groupSize;
const completionsPerCommand = 16;
const groupsPerBatch = 32;
const trainerCount = 12;

const lotSpecification: LotSpecification = {
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

const splitIntoChunks = <Value>(values: readonly Value[], size: number): Value[][] =>
  Array.from({ length: Math.ceil(values.length / size) }, (_, index) =>
    values.slice(index * size, (index + 1) * size),
  );

const createSampleIds = (lot: string): string[] =>
  Array.from({ length: samplesPerLot }, (_, index) => {
    const group = Math.floor(index / groupSize);
    return `${lot}/${group}/${index % groupSize}`;
  });

/** Creates all commands of a lot that another daemon owns, from its opening to its last batch. */
const createLotCommands = (opened: Command & { readonly kind: 'lotOpened' }): Command[] => {
  const { lot } = opened;
  const sampleIds = createSampleIds(lot);
  const completions = splitIntoChunks(sampleIds, completionsPerCommand).map((chunk) => ({
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
  const batches = splitIntoChunks(sampleIds, groupsPerBatch * groupSize).map((samples, cursor) => ({
    kind: 'batchAssigned' as const,
    lot,
    cursor,
    trainerVersion: 5,
    samples,
  }));
  const lastCommand = {
    kind: 'trainerAdvanced' as const,
    lot,
    cursor: batches.length,
    trainerVersion: 5,
  };
  return [opened, ...completions, ...batches, lastCommand];
};

const createEntries = (commands: readonly Command[]): CommittedEntry[] =>
  commands.map((command, index) => ({
    index: index + 1,
    term: 1,
    proposal: asBrand(`proposal-gp-north-1.mx8qy85i-${index}`),
    origin: 'gp-north-1',
    command,
  }));

const createLotOpenedCommand = (core: Core, request: string) => ({
  ...createLotOpened(core.world, { ...lotSpecification, request }, 'd'.repeat(64)),
  owner: 'd1',
});

const applyEntries = (core: Core, entries: readonly CommittedEntry[]): void =>
  entries.forEach((entry) => {
    core.world.committedEntries.append(entry);
    core.ticker.tick(1);
    core.world.events.takeAll();
    core.world.outgoingMessages.takeAll();
  });

const microsecondsPerMillisecond = 1_000;

const measureApplyCost = (): Measurement[] => {
  const core = createLedgerCore();
  const entries = createEntries(createLotCommands(createLotOpenedCommand(core, 'measured')));
  applyEntries(core, createEntries(createLotCommands(createLotOpenedCommand(core, 'warm-up'))));
  const startedAt = performance.now();
  applyEntries(core, entries);
  const elapsedMicroseconds = (performance.now() - startedAt) * microsecondsPerMillisecond;
  const bytes = entries.reduce((sum, entry) => sum + encodeFrame(entry)._unsafeUnwrap().length, 0);
  return [
    { name: 'ledger_log_bytes_a_sample', value: bytes / samplesPerLot, unit: 'B' },
    { name: 'ledger_apply_a_sample', value: elapsedMicroseconds / samplesPerLot, unit: 'us' },
  ];
};

const measureHeapBytes = (): number => {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
};

const measureMemory = (): Measurement[] => {
  const core = createLedgerCore();
  const initialBytes = measureHeapBytes();
  const openedCommands = Array.from({ length: trainerCount }, (_, index) =>
    createLotOpenedCommand(core, `lot-${index}`),
  );
  applyEntries(core, createEntries(openedCommands));
  const plannedBytes = measureHeapBytes();
  openedCommands.forEach((openedCommand) =>
    applyEntries(core, createEntries(createLotCommands(openedCommand).slice(1, -1))),
  );
  const assignedBytes = measureHeapBytes();
  const sampleCount = core.world.samples.size();
  return [
    {
      name: 'ledger_rows_planned_a_sample',
      value: (plannedBytes - initialBytes) / sampleCount,
      unit: 'B',
    },
    {
      name: 'ledger_rows_assigned_a_sample',
      value: (assignedBytes - initialBytes) / sampleCount,
      unit: 'B',
    },
    {
      name: 'ledger_rows_12_lots_of_4096',
      value: (assignedBytes - initialBytes) / 1_048_576,
      unit: 'MiB',
    },
  ];
};

/** Measures the cost of the ledger at 12 trainers with 4,096 samples each. */
export const measureLedgerCost = (): Measurement[] => [...measureApplyCost(), ...measureMemory()];
