/**
 * Tests the ledger handlers in isolation: late, duplicate and reordered commands change nothing.
 */
import test from 'ava';
import type { Result } from 'neverthrow';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import { asBrand } from '../../../../base/common/brand.js';
import { dispatchByKind } from '../../../../base/common/handlers.js';
import { createRandom } from '../../../../base/common/random.js';
import { noopMetrics } from '../../../../infrastructure/metrics/common/metrics.js';
import type { ApplyContext } from '../../../consensus/common/applyHandlers.js';
import type { CommittedEntry, Rejection } from '../../../consensus/common/consensusTables.js';
import type { SampleId } from '../../../world/common/identifiers.js';
import { createWorld, type World } from '../../../world/common/world.js';
import type { LedgerCommand } from '../../common/ledgerCommands.js';
import { ledgerApplyHandlers } from '../../common/ledgerHandlers.js';
import { createLotOpened } from '../../common/openLot.js';
import { lotSpecification } from './rolloutScenario.js';

const lot = 'lot-one-step-1';
const sample = `${lot}/0/0`;

const createLedger = (position = 0): World => {
  const deployment = createTestDeployment(3, 2);
  const world = createWorld({
    deployment,
    self: deployment.daemons[position]!,
    tree: createTestTree(),
    incarnation: 1,
    random: createRandom(1),
    metrics: noopMetrics,
  });
  return world;
};

const apply = (world: World, command: LedgerCommand): string => {
  const entry: CommittedEntry = {
    index: 1,
    term: 1,
    proposal: asBrand('p'),
    origin: 'self',
    command,
  };
  const outcome = dispatchByKind<LedgerCommand, Result<void, Rejection>, ApplyContext>(
    ledgerApplyHandlers,
    command,
    world,
    entry,
    0,
  );
  return outcome.match(
    () => 'applied',
    ({ kind }) => kind,
  );
};

const createSamplesCompleted = (
  names: readonly string[],
  attempt: string,
  version = 5,
  epoch = 0,
) => ({
  kind: 'samplesCompleted' as const,
  lot,
  epoch,
  samples: names.map((name) => ({
    sample: name,
    attempt,
    holders: ['d1', 'd2'],
    spans: [{ weightVersion: version, incarnation: 1, tokens: 50 }],
  })),
});

const openLedger = (): World => {
  const world = createLedger();
  apply(world, createLotOpened(world, lotSpecification, 'prompts'));
  return world;
};

const sampleRowOf = (world: World, name = sample) => world.samples.get(asBrand<SampleId>(name))!;

test('the first completion of a sample wins', (t) => {
  const world = openLedger();
  t.is(apply(world, createSamplesCompleted([sample], 'first')), 'applied');
  t.is(apply(world, createSamplesCompleted([sample], 'second')), 'applied');
  t.is(sampleRowOf(world).attempt, 'first' as never);
});

test('a completion of an assigned sample changes nothing', (t) => {
  const world = openLedger();
  apply(world, createSamplesCompleted([sample], 'first'));
  apply(world, { kind: 'batchAssigned', lot, cursor: 0, trainerVersion: 5, samples: [sample] });
  apply(world, createSamplesCompleted([sample], 'second'));
  t.is(sampleRowOf(world).state, 'assigned');
  t.is(sampleRowOf(world).attempt, 'first' as never);
});

test('a stale completion is ignored', (t) => {
  const world = openLedger();
  apply(world, createSamplesCompleted([sample], 'old', 3));
  t.is(sampleRowOf(world).state, 'planned');
});

test('a completion from an earlier owner is rejected', (t) => {
  const world = openLedger();
  t.is(apply(world, { kind: 'lotTakenOver', lot, owner: 'd2', epoch: 1 }), 'applied');
  t.is(apply(world, { kind: 'lotTakenOver', lot, owner: 'd1', epoch: 1 }), 'epochStale');
  t.is(apply(world, createSamplesCompleted([sample], 'late')), 'epochStale');
  t.is(sampleRowOf(world).state, 'planned');
  t.is(apply(world, createSamplesCompleted([sample], 'new', 5, 1)), 'applied');
  t.is(sampleRowOf(world).attempt, 'new' as never);
});

test('a cursor is assigned only once, and a sample to only one cursor', (t) => {
  const world = openLedger();
  const other = `${lot}/0/1`;
  apply(world, createSamplesCompleted([sample, other], 'a'));
  const assign = (cursor: number, name: string) =>
    apply(world, { kind: 'batchAssigned', lot, cursor, trainerVersion: 5, samples: [name] });
  t.is(assign(0, sample), 'applied');
  t.is(assign(0, other), 'cursorTaken');
  t.is(assign(1, sample), 'samplesNotReady');
  t.is(assign(1, other), 'applied');
});

test('a higher trainer version resets stale complete samples to planned', (t) => {
  const world = openLedger();
  apply(world, createSamplesCompleted([sample], 'a'));
  apply(world, { kind: 'trainerAdvanced', lot, cursor: 0, trainerVersion: 7 });
  t.is(sampleRowOf(world).state, 'planned');
  t.is(sampleRowOf(world).attempt, null);
});

test('a failed lot rejects completions and batches', (t) => {
  const world = openLedger();
  apply(world, createSamplesCompleted([sample], 'a'));
  t.is(apply(world, { kind: 'lotFailed', lot, failure: 'deadlinePassed' }), 'applied');
  t.is(apply(world, createSamplesCompleted([sample], 'b')), 'lotClosed');
  const samples = [sample];
  const assign = { kind: 'batchAssigned' as const, lot, cursor: 0, trainerVersion: 5, samples };
  t.is(apply(world, assign), 'lotClosed');
});

test('a daemon without the role `control` holds no ledger', (t) => {
  const world = createLedger(2);
  t.is(apply(world, createLotOpened(world, lotSpecification, 'prompts')), 'applied');
  t.is(world.lots.size(), 0);
});
