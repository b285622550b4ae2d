/**
 * Single cases of restored state: sizes of parts, outcomes, deadlines of lots, unreadable parts.
 */
import test from 'ava';
import fc from 'fast-check';
import { asBrand } from '../../../../base/common/brand.js';
import { computeEncodedBytes } from '../../../../base/common/encodedSize.js';
import { never } from '../../../../base/common/time.js';
import { maximumBatchBytes } from '../../../../infrastructure/wire/common/frameLimits.js';
import { EventKind } from '../../../events/common/eventKind.js';
import type { World } from '../../../world/common/world.js';
import { Topic, type Command } from '../../common/command.js';
import type { CommittedEntry } from '../../common/consensusTables.js';
import {
  arePartsReadable,
  captureReplicatedState,
  selectParts,
} from '../../common/replicatedState.js';
import type { SnapshotPart } from '../../common/snapshot.js';
import { commandArbitraries } from './arbitraryCommands.js';
import {
  anySequence,
  createApplier,
  createEntries,
  describeState,
  now,
  restore,
  rowsOf,
  seed,
  transfer,
} from './stateTransfer.js';

const createNamedVersions = (count: number): CommittedEntry[] =>
  createEntries(
    Array.from({ length: count }, (_, version) => ({
      kind: 'versionNamed' as const,
      model: `model-${version}`,
      version: version + 1,
    })),
  );

test('parts fit messages, and restored outcomes expire in the order of the log', (t) => {
  const limit = 8_192;
  const entries = createNamedVersions(limit + 200);
  const sender = createApplier(true);
  sender.apply(entries.slice(0, limit + 100));
  const parts = transfer(sender.world, true);
  t.true(parts.length > new Set(parts.map(({ table }) => table)).size);
  parts.forEach(({ rows }) =>
    t.true(
      rows.reduce<number>((sum, row) => sum + computeEncodedBytes(row), 0) <= maximumBatchBytes,
    ),
  );
  const receiver = createApplier(true);
  receiver.apply(entries.slice(50, 60));
  restore(receiver.world, parts, true);
  [sender, receiver].forEach(({ apply }) => apply(entries.slice(limit + 100)));
  t.is(receiver.world.rememberedOutcomes.size(), limit);
  t.deepEqual(describeState(receiver.world, true), describeState(sender.world, true));
});

test('restoring marks only the rows that differ as changed, in the order of the log', (t) => {
  const entries = createNamedVersions(30);
  const sender = createApplier(true);
  sender.apply(entries);
  const { world, apply } = createApplier(true);
  apply(entries.slice(0, 10));
  const changes = world.rememberedOutcomes.createChangeReader();
  restore(world, transfer(sender.world, true), true);
  t.deepEqual(
    changes.take(),
    entries.slice(10).map(({ proposal }) => proposal),
  );
});

test('rows in another order are put in the order of the snapshot', (t) => {
  const entries = createNamedVersions(6);
  const sender = createApplier(true);
  sender.apply(entries);
  const receiver = createApplier(true);
  receiver.apply([...entries].reverse());
  restore(receiver.world, transfer(sender.world, true), true);
  t.deepEqual(describeState(receiver.world, true), describeState(sender.world, true));
});

test('a proposal whose entry is in the snapshot gets its outcome', (t) => {
  const [entry] = createNamedVersions(1);
  const sender = createApplier(true);
  sender.apply([entry!]);
  const { world } = createApplier(true);
  const { proposal, command } = entry!;
  const deadlines = { proposalDeadline: 5_000, sendDeadline: 2_000 };
  world.pendingProposals.put({ id: proposal, command, ...deadlines, hasBeenSent: true });
  restore(world, transfer(sender.world, true), true);
  t.deepEqual(world.proposalOutcomes.get(proposal)?.outcome, { kind: 'applied', index: 1 });
  t.is(world.pendingProposals.size(), 0);
});

type LotCommand = Extract<Command, { readonly kind: `lot${string}` }>;

const lotOpened: Command = {
  kind: 'lotOpened',
  lot: 'lot',
  workspace: 'one',
  service: 'model',
  model: 'model',
  step: 1,
  trainerVersion: 1,
  stalenessBound: 1,
  swapPolicy: 'continue',
  groupCount: 1,
  groupSize: 1,
  maximumTokens: 1,
  owner: 'd1',
  promptDigest: 'digest',
  holders: [],
  remaining: 500,
};
const lotFailed: LotCommand = { kind: 'lotFailed', lot: 'lot', failure: 'deadlinePassed' };
const lotDropped: LotCommand = { kind: 'lotDropped', lot: 'lot' };

/** Restores the state after some commands at a daemon that has applied the first `applied` ones. */
const restoreLots = (commands: readonly Command[], applied: number): World => {
  const entries = createEntries(commands);
  const sender = createApplier(true);
  sender.apply(entries);
  const receiver = createApplier(true);
  receiver.apply(entries.slice(0, applied));
  restore(receiver.world, transfer(sender.world, true), true);
  return receiver.world;
};

test('a restored lot has its deadline from the time that was left', (t) => {
  const [clock] = restoreLots([lotOpened], 0).lotClocks.rows();
  t.is(clock!.lotDeadline, now + 500);
});

test('a lot that was opened again has a deadline although the earlier one had failed', (t) => {
  const world = restoreLots([lotOpened, lotFailed, lotDropped, lotOpened], 2);
  const [clock] = world.lotClocks.rows();
  t.is(clock!.lotDeadline, now + 500);
});

test('a lot that failed meanwhile has no deadline any more', (t) => {
  const [clock] = restoreLots([lotOpened, lotFailed], 1).lotClocks.rows();
  t.is(clock!.lotDeadline, never);
});

test('the bodies of a lot that was dropped meanwhile are deleted', (t) => {
  const world = restoreLots([lotOpened, lotDropped], 1);
  t.is(world.lotClocks.size(), 0);
  t.deepEqual(world.bodyDeletions.takeAll(), [asBrand('lot')]);
});

test('a declaration that comes with a snapshot is reported as in force, once', (t) => {
  const [command] = fc.sample(commandArbitraries.declarationSet, { numRuns: 1, seed });
  const sender = createApplier(true);
  sender.apply(createEntries([command!]));
  const { world } = createApplier(false);
  const parts = transfer(sender.world, false);
  [1, 2].forEach(() => restore(world, parts, false));
  const reported = world.events
    .takeAll()
    .filter(({ kind }) => kind === EventKind.DeclarationActivated)
    .map(({ subject }) => subject.version);
  t.deepEqual(reported, [command!.version]);
});

test('the tree of a settings file is neither captured nor replaced', (t) => {
  const sender = createApplier(true);
  t.deepEqual(captureReplicatedState(sender.world), []);
  const { world } = createApplier(true);
  const before = rowsOf(world, 'settings');
  restore(world, [], true);
  t.deepEqual(rowsOf(world, 'settings'), before);
});

const deepList = (depth: number): unknown => {
  let list: unknown = 1;
  for (let level = 0; level < depth; level += 1) list = [list];
  return list;
};

const unreadableParts: Readonly<Record<string, SnapshotPart>> = {
  'of a table that is not replicated': { table: 'lotClocks', rows: [] },
  'of a property of every object': { table: 'constructor', rows: [] },
  'with a row without its columns': { table: 'modelVersions', rows: [{ id: 'model' }] },
  'with a row that is no object': { table: 'intents', rows: [null] },
  'with a row that is nested too deeply': {
    table: 'settingsHistory',
    rows: [
      {
        id: '2',
        revision: 2,
        operator: 'o',
        request: 'r',
        path: '',
        change: { kind: 'put', value: deepList(100_000) },
      },
    ],
  },
};

Object.entries(unreadableParts).forEach(([name, part]) =>
  test(`a part ${name} is not readable`, (t) => t.false(arePartsReadable([part]))),
);

test('daemons without the role control receive configuration only', (t) => {
  const parts = fc.sample(anySequence, { numRuns: 200, seed }).flatMap((commands) => {
    const { world, apply } = createApplier(true);
    apply(createEntries(commands));
    return selectParts(captureReplicatedState(world), [Topic.Configuration]);
  });
  const names = new Set(parts.map(({ table }) => table));
  t.deepEqual([...names].sort(), [
    'declarations',
    'evacuations',
    'keyRotations',
    'rememberedAnswers',
    'settings',
    'settingsHistory',
  ]);
});
