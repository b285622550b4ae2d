/**
 * Tables of entities. A row is an immutable record: a change replaces it by a new record. The table
 * applies all changes, and updates its indices and notifies its change readers with each of them.
 */
import type { Brand } from '../../../base/common/brand.js';
import type { Disposable } from '../../../base/common/disposable.js';
import { createDisposable } from '../../../base/common/disposable.js';
import { selectRandomElement, type Random } from '../../../base/common/random.js';
import { never, type Instant } from '../../../base/common/time.js';
import {
  createSelectionIndex,
  type SelectionColumn,
  type SelectionIndex,
} from './selectionIndex.js';
import { RowReader } from './rowReader.js';
import {
  createDeadlineIndex,
  createValueIndex,
  type DeadlineIndex,
  type RowIndex,
  type ValueIndex,
} from './indices.js';
import { createOrderIndex, type OrderColumns, type OrderIndex } from './orderIndex.js';

/** The properties of every row: its identifier, unique in the table. */
export interface Entity<Id extends Brand<string> = Brand<string>> {
  readonly id: Id;
}

/** The identifier type of a row. */
export type IdOf<Row extends Entity> = Row['id'];

/** Collects the identifiers of changed rows; each reader has its own set. */
export interface ChangeReader<Id> extends Disposable {
  readonly isEmpty: () => boolean;
  /** Returns the rows inserted, changed or removed since the last call, each identifier once. */
  readonly take: () => readonly Id[];
}

/** The name of a table and its indexed columns. */
export interface TableDefinition<
  Row extends Entity,
  IndexName extends string,
  DeadlineName extends string,
  SelectionName extends string,
  OrderName extends string,
> {
  /** Name of the table, for error messages. */
  readonly name: string;
  readonly indices: Readonly<Record<IndexName, (row: Row) => string | undefined>>;
  readonly deadlines: Readonly<Record<DeadlineName, (row: Row) => Instant>>;
  /** Columns by which a random row can be selected in constant time. */
  readonly selections?: Readonly<Record<SelectionName, SelectionColumn<Row>>>;
  /** Orders in which the first row of a group can be looked up. */
  readonly orders?: Readonly<Record<OrderName, OrderColumns<Row>>>;
}

/** The operations of a table that do not depend on the type of its rows. */
export interface AnyTable {
  readonly name: string;
  readonly size: () => number;
  /** Whether rows have deadlines; only such tables are asked for the earliest one. */
  readonly hasDeadlines: boolean;
  /** The earliest deadline of any row, or `never`. */
  readonly earliestDeadline: () => Instant;
  /** Whether a system has unread changes; changes for ports do not count. */
  readonly hasUnreadChanges: () => boolean;
}

/** A table of rows. */
export interface Table<
  Row extends Entity,
  IndexName extends string = never,
  DeadlineName extends string = never,
  SelectionName extends string = never,
  OrderName extends string = never,
> extends AnyTable {
  readonly get: (id: IdOf<Row>) => Row | undefined;
  readonly has: (id: IdOf<Row>) => boolean;
  readonly rows: () => IterableIterator<Row>;
  /** Inserts the row or replaces the one with the same identifier; returns the row. */
  readonly put: (row: Row) => Row;
  /** Changes columns of a row; returns the new row, or undefined if the row does not exist. */
  readonly change: (id: IdOf<Row>, columns: Partial<Omit<Row, 'id'>>) => Row | undefined;
  readonly remove: (id: IdOf<Row>) => Row | undefined;
  /** The rows whose indexed column has this value, in the order in which they acquired it. */
  readonly where: (index: IndexName, value: string) => Row[];
  /** The number of rows with this value, in constant time. */
  readonly count: (index: IndexName, value: string) => number;
  /** The distinct values of the indexed column. */
  readonly values: (index: IndexName) => Iterable<string>;
  /** Selects a random row with this value in constant time; undefined if there is none. */
  readonly selectRandom: (index: SelectionName, value: string, random: Random) => Row | undefined;
  /** The number of rows that can be selected for this value. */
  readonly selectableCount: (index: SelectionName, value: string) => number;
  /** All rows that can be selected for this value, in no particular order. */
  readonly selectableRows: (index: SelectionName, value: string) => Row[];
  /** The row with the lowest rank in this group. */
  readonly first: (order: OrderName, group: string) => Row | undefined;
  /** Returns the rows whose deadline has expired; each deadline is reported once. */
  readonly takeDue: (deadline: DeadlineName, now: Instant) => Row[];
  /**
   * Starts to collect changes; a tick repeats only while readers of systems have unread changes.
   */
  readonly createChangeReader: (reader?: RowReader) => ChangeReader<IdOf<Row>>;
}

const noChanges: readonly never[] = [];

const mapColumns = <Name extends string, Column, Index>(
  columns: Readonly<Record<Name, Column>>,
  create: (column: Column) => Index,
): Record<Name, Index> => {
  const entries = Object.entries<Column>(columns).map(([name, column]) => [name, create(column)]);
  return Object.fromEntries(entries) as Record<Name, Index>;
};

/** Creates an empty table. */
export const createTable = <
  Row extends Entity,
  IndexName extends string = never,
  DeadlineName extends string = never,
  SelectionName extends string = never,
  OrderName extends string = never,
>(
  definition: TableDefinition<Row, IndexName, DeadlineName, SelectionName, OrderName>,
): Table<Row, IndexName, DeadlineName, SelectionName, OrderName> => {
  const rows = new Map<IdOf<Row>, Row>();
  const readers = new Set<Set<IdOf<Row>>>();
  const systemReaders = new Set<Set<IdOf<Row>>>();
  const valueIndices = mapColumns(definition.indices, (column): ValueIndex<Row> =>
    createValueIndex(column),
  );
  const deadlineIndices = mapColumns(definition.deadlines, (column): DeadlineIndex<Row> =>
    createDeadlineIndex(column),
  );
  const selectionIndices = mapColumns(
    definition.selections ?? ({} as Record<SelectionName, SelectionColumn<Row>>),
    (column): SelectionIndex<Row> => createSelectionIndex(column),
  );
  const orderIndices = mapColumns(
    definition.orders ?? ({} as Record<OrderName, OrderColumns<Row>>),
    (columns): OrderIndex<Row> => createOrderIndex(columns),
  );
  const deadlineIndexList = Object.values<DeadlineIndex<Row>>(deadlineIndices);
  const allIndices: RowIndex<Row>[] = [
    ...Object.values<ValueIndex<Row>>(valueIndices),
    ...Object.values<SelectionIndex<Row>>(selectionIndices),
    ...Object.values<OrderIndex<Row>>(orderIndices),
    ...deadlineIndexList,
  ];

  const onDidChangeRow = (before: Row | undefined, after: Row | undefined): void => {
    allIndices.forEach((index) => index.onDidChangeRow(before, after));
    const id = (after ?? before)!.id as IdOf<Row>;
    readers.forEach((changed) => changed.add(id));
  };

  const put = (row: Row): Row => {
    const before = rows.get(row.id);
    rows.set(row.id, row);
    onDidChangeRow(before, row);
    return row;
  };

  // Asked for each table in each round of a tick, mostly while nothing has changed.
  const hasUnreadChanges = (): boolean => {
    for (const changed of systemReaders) if (changed.size > 0) return true;
    return false;
  };

  const rowsOf = (identifiers: Iterable<string>): Row[] =>
    Array.from(identifiers, (id) => rows.get(id as IdOf<Row>)).filter((row) => row !== undefined);

  return {
    name: definition.name,
    size: () => rows.size,
    hasDeadlines: deadlineIndexList.length > 0,
    earliestDeadline: () =>
      deadlineIndexList.reduce((earliest, index) => Math.min(earliest, index.earliest()), never),
    hasUnreadChanges,
    get: (id) => rows.get(id),
    has: (id) => rows.has(id),
    rows: () => rows.values(),
    put,
    change: (id, columns) => {
      const before = rows.get(id);
      return before === undefined ? undefined : put({ ...before, ...columns });
    },
    remove: (id) => {
      const before = rows.get(id);
      if (before === undefined) return undefined;
      rows.delete(id);
      onDidChangeRow(before, undefined);
      return before;
    },
    where: (index, value) => rowsOf(valueIndices[index].identifiers(value)),
    count: (index, value) => valueIndices[index].identifiers(value).size,
    values: (index) => valueIndices[index].values(),
    selectRandom: (index, value, random) => {
      const id = selectRandomElement(random, selectionIndices[index].identifiers(value));
      return id === undefined ? undefined : rows.get(id as IdOf<Row>);
    },
    selectableCount: (index, value) => selectionIndices[index].identifiers(value).length,
    selectableRows: (index, value) => rowsOf(selectionIndices[index].identifiers(value)),
    first: (order, group) => {
      const id = orderIndices[order].first(group);
      return id === undefined ? undefined : rows.get(id as IdOf<Row>);
    },
    takeDue: (deadline, now) => {
      const due = deadlineIndices[deadline].takeDue(now);
      return due.length === 0 ? [] : rowsOf(due);
    },
    createChangeReader: (reader = RowReader.System) => {
      const changed = new Set<IdOf<Row>>();
      readers.add(changed);
      if (reader === RowReader.System) systemReaders.add(changed);
      const { dispose } = createDisposable(() => {
        readers.delete(changed);
        systemReaders.delete(changed);
      });
      return {
        isEmpty: () => changed.size === 0,
        take: () => {
          if (changed.size === 0) return noChanges;
          const changedIds = [...changed];
          changed.clear();
          return changedIds;
        },
        dispose,
      };
    },
  };
};
