/**
 * Daemons that only apply entries, and the transfer of their replicated state, for tests of snapshots.
 */
import { decode, encode } from 'cbor-x';
import fc from 'fast-check';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import { asBrand } from '../../../../base/common/brand.js';
import { createRandom } from '../../../../base/common/random.js';
import { noopMetrics } from '../../../../infrastructure/metrics/common/metrics.js';
import {
  createPublicationSystem,
  initializeSettings,
} from '../../../configuration/common/publicationSystem.js';
import { createWorld, type Tables, type World } from '../../../world/common/world.js';
import { createApplySystem } from '../../common/applySystem.js';
import { topicOfCommand, type Command } from '../../common/command.js';
import type { CommittedEntry } from '../../common/consensusTables.js';
import { insertReplica } from '../../common/replicaSystem.js';
import {
  captureReplicatedState,
  restoreReplicatedState,
  selectParts,
  selectTableNames,
} from '../../common/replicatedState.js';
import { topicsOf, type SnapshotPart } from '../../common/snapshot.js';
import { anyCommand } from './arbitraryCommands.js';

export const now = 1_000;
export const seed = 41;

/** A daemon that applies entries and publishes settings, and does nothing else. */
export interface Applier {
  readonly world: World;
  readonly apply: (entries: readonly CommittedEntry[]) => void;
}

export const createApplier = (isControl: boolean): Applier => {
  const deployment = createTestDeployment(3, 2);
  const world = createWorld({
    deployment,
    self: deployment.daemons[isControl ? 0 : 2]!,
    tree: createTestTree(),
    incarnation: 1,
    random: createRandom(1),
    metrics: noopMetrics,
  });
  initializeSettings(world, undefined);
  insertReplica(world, now);
  const systems = [createApplySystem(world), createPublicationSystem(world)];
  return {
    world,
    apply: (entries) => {
      entries.forEach((entry) => world.committedEntries.append(entry));
      systems.forEach((system) => system.run(now));
    },
  };
};

export const createEntries = (commands: readonly Command[]): CommittedEntry[] =>
  commands.map((command, position) => ({
    index: position + 1,
    term: 1,
    proposal: asBrand(`proposal-${position}`),
    origin: 'd1',
    command: decode(encode(command)) as Command,
  }));

/** Repeats some proposals: an entry may hold a proposal that an earlier entry holds. */
export const repeatProposals = (
  entries: readonly CommittedEntry[],
  distances: readonly number[],
): CommittedEntry[] =>
  entries.map((entry, position) => {
    const distance = distances[position] ?? 0;
    const { proposal, command } = entries[position - distance] ?? entry;
    return { ...entry, proposal, command };
  });

/** Rows as they are after encoding, so that all byte strings have the same type. */
export const rowsOf = (world: World, name: keyof Tables): unknown[] => {
  const table = world[name] as unknown as { readonly rows: () => Iterable<unknown> };
  return decode(encode([...table.rows()])) as unknown[];
};

const sortedRowsOf = (world: World, name: keyof Tables): unknown[] =>
  (rowsOf(world, name) as { readonly id: string }[]).sort((first, second) =>
    first.id < second.id ? -1 : 1,
  );

/** Rows that follow from replicated ones; lookups do not depend on their order. */
const derivedTables = [
  'routes',
  'callerKeys',
  'declaredWorkspaces',
  'services',
  'workspaces',
  'keys',
  'operators',
  'served',
  'lotClocks',
] as const satisfies readonly (keyof Tables)[];

export const describeState = (world: World, isControl: boolean) => ({
  replicated: Object.fromEntries(
    selectTableNames(topicsOf(isControl)).map((name) => [name, rowsOf(world, name)]),
  ),
  derived: Object.fromEntries(derivedTables.map((name) => [name, sortedRowsOf(world, name)])),
});

export const outcomesOf = ({ proposalOutcomes }: World, entries: readonly CommittedEntry[]) =>
  entries.map(({ proposal }) => proposalOutcomes.get(proposal)?.outcome);

/** Captures the state of a control daemon as it reaches another daemon. */
export const transfer = (world: World, isControl: boolean): SnapshotPart[] =>
  decode(encode(selectParts(captureReplicatedState(world), topicsOf(isControl)))) as SnapshotPart[];

export const restore = (world: World, parts: readonly SnapshotPart[], isControl: boolean): void =>
  restoreReplicatedState(world, parts, topicsOf(isControl), now);

/** Whether a daemon receives an entry that it has not proposed. */
export const isReceived = (isControl: boolean, { command }: CommittedEntry): boolean =>
  topicsOf(isControl).includes(topicOfCommand[command.kind]);

export const sequenceLength = 45;
export const anySequence = fc.array(anyCommand, {
  minLength: sequenceLength,
  maxLength: sequenceLength,
});
/** Distance to the earlier entry whose proposal an entry repeats; 0 for most. */
export const anyDistances = fc.array(
  fc.oneof({ weight: 4, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.nat(20) }),
  { minLength: sequenceLength, maxLength: sequenceLength },
);
