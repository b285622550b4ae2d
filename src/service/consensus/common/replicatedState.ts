/**
 * The replicated tables: those that only committed entries change, and that are therefore the same on
 * all daemons that receive their topic. Captures their rows for a snapshot, and restores them. Each
 * component describes its own tables, as it provides the handlers of its own commands.
 */
import { Result } from 'neverthrow';
import { computeEncodedBytes } from '../../../base/common/encodedSize.js';
import { isStructurallyEqual } from '../../../base/common/structuralEquality.js';
import type { Instant } from '../../../base/common/time.js';
import type { Entity } from '../../../infrastructure/tables/common/table.js';
import {
  divideIntoBatches,
  maximumBatchBytes,
} from '../../../infrastructure/wire/common/frameLimits.js';
import { replicatedSettingsTables } from '../../configuration/common/replicatedSettingsTables.js';
import { replicatedDeclarationTables } from '../../declaration/common/replicatedDeclarationTables.js';
import { replicatedJobTables } from '../../jobs/common/replicatedJobTables.js';
import { replicatedMeteringTables } from '../../metering/common/replicatedMeteringTables.js';
import { replicatedOrderTables } from '../../orders/common/replicatedOrderTables.js';
import { replicatedEvacuationTables } from '../../places/common/replicatedEvacuationTables.js';
import { replicatedLedgerTables } from '../../rollout/common/replicatedLedgerTables.js';
import { replicatedVersionTables } from '../../weights/common/replicatedVersionTables.js';
import type { World } from '../../world/common/world.js';
import type { Topic } from './command.js';
import { replicatedConsensusTables } from './replicatedConsensusTables.js';
import type { ReplicatedTable, RestorableTable } from './replicatedTable.js';
import type { SnapshotPart } from './snapshot.js';

const descriptions = {
  ...replicatedConsensusTables,
  ...replicatedSettingsTables,
  ...replicatedDeclarationTables,
  ...replicatedOrderTables,
  ...replicatedLedgerTables,
  ...replicatedJobTables,
  ...replicatedVersionTables,
  ...replicatedMeteringTables,
  ...replicatedEvacuationTables,
};

/** Name of a replicated table. */
export type ReplicatedTableName = keyof typeof descriptions;

/** Names of all replicated tables, in the order in which they are captured and restored. */
export const replicatedTableNames = Object.keys(descriptions) as readonly ReplicatedTableName[];

const isReplicatedTableName = (name: string): name is ReplicatedTableName =>
  Object.hasOwn(descriptions, name);

/** The description and the table under a name agree on the type of rows, which is dropped here. */
const descriptionOf = (name: ReplicatedTableName) =>
  descriptions[name] as unknown as ReplicatedTable;
const tableOf = (world: World, name: ReplicatedTableName) =>
  world[name] as unknown as RestorableTable<Entity>;

/** Names of the replicated tables of these topics. */
export const selectTableNames = (topics: readonly Topic[]): readonly ReplicatedTableName[] =>
  replicatedTableNames.filter((name) => topics.includes(descriptionOf(name).topic));

const replicatedRowsOf = (world: World, name: ReplicatedTableName): Entity[] => {
  const { isLocalRow } = descriptionOf(name);
  const rows = [...tableOf(world, name).rows()];
  return isLocalRow === undefined ? rows : rows.filter((row) => !isLocalRow(row));
};

/** Returns the rows of all replicated tables, divided into parts that each fit a message. */
export const captureReplicatedState = (world: World): SnapshotPart[] =>
  replicatedTableNames.flatMap((table) =>
    divideIntoBatches(replicatedRowsOf(world, table), computeEncodedBytes, {
      maximumRows: Number.POSITIVE_INFINITY,
      maximumBytes: maximumBatchBytes,
    }).map((rows) => ({ table, rows: [...rows] })),
  );

/** Returns the parts of the tables of these topics. */
export const selectParts = (
  parts: readonly SnapshotPart[],
  topics: readonly Topic[],
): readonly SnapshotPart[] =>
  parts.filter(
    ({ table }) => isReplicatedTableName(table) && topics.includes(descriptionOf(table).topic),
  );

const isPartReadable = ({ table, rows }: SnapshotPart): boolean => {
  if (!isReplicatedTableName(table)) return false;
  const { rowSchema } = descriptionOf(table);
  return rows.every((row) => rowSchema.safeParse(row).success);
};

/** A schema throws on a value that is nested too deeply for the stack. */
const checkParts = Result.fromThrowable((parts: readonly SnapshotPart[]) =>
  parts.every(isPartReadable),
);

/** Whether the parts hold only rows that this daemon can read, of replicated tables. */
export const arePartsReadable = (parts: readonly SnapshotPart[]): boolean =>
  checkParts(parts).unwrapOr(false);

/**
 * Removes the rows that do not stay, or not at their place: tables keep rows in the order of their
 * insertion, and handlers rely on it. Returns their number.
 */
const removeObsoleteRows = (
  table: RestorableTable<Entity>,
  current: readonly Entity[],
  restored: readonly Entity[],
): number => {
  const restoredIds = new Set(restored.map(({ id }) => id));
  const remaining = current.filter(({ id }) => restoredIds.has(id));
  const isMoved = ({ id }: Entity, position: number): boolean => id !== restored[position]!.id;
  const firstMoved = remaining.findIndex(isMoved);
  const moved = firstMoved < 0 ? [] : remaining.slice(firstMoved);
  const obsolete = [...current.filter(({ id }) => !restoredIds.has(id)), ...moved];
  obsolete.forEach(({ id }) => table.remove(id));
  return obsolete.length;
};

/**
 * Only rows that change are put, so that readers of changes see no others. Returns whether there are
 * any.
 */
const restoreTable = (
  world: World,
  name: ReplicatedTableName,
  parts: readonly SnapshotPart[],
): boolean => {
  const table = tableOf(world, name);
  const { rowSchema } = descriptionOf(name);
  const restored = parts
    .filter((part) => part.table === name)
    .flatMap(({ rows }) => rows)
    .map((row) => rowSchema.parse(row));
  const removedCount = removeObsoleteRows(table, replicatedRowsOf(world, name), restored);
  const changed = restored.filter((row) => !isStructurallyEqual(table.get(row.id), row));
  changed.forEach((row) => table.put(row));
  return removedCount + changed.length > 0;
};

/** Replaces the rows of all replicated tables of these topics. The parts must be readable. */
export const restoreReplicatedState = (
  world: World,
  parts: readonly SnapshotPart[],
  topics: readonly Topic[],
  now: Instant,
): void => {
  const changedNames = selectTableNames(topics).filter((name) => restoreTable(world, name, parts));
  changedNames.forEach((name) => descriptionOf(name).onDidRestore?.(world, now));
};
