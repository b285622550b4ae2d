/**
 * The indices of a table. Each follows every change of a row; the table alone calls them, so that no
 * index can drift from the rows.
 */
import { createHeap } from '../../../base/common/heap.js';
import { never, type Instant } from '../../../base/common/time.js';

/** An index is told of every row before and after its change; `undefined` stands for no row. */
export interface IndexMaintenance<Row> {
  readonly onDidChangeRow: (before: Row | undefined, after: Row | undefined) => void;
}

/** Rows by the value of one column. */
export interface ValueIndex<Row> extends IndexMaintenance<Row> {
  readonly identifiers: (value: string) => ReadonlySet<string>;
  readonly values: () => Iterable<string>;
}

const noIdentifiers: ReadonlySet<string> = new Set();

/** Creates an index over the column that `columnOf` reads; rows where it is undefined are left out. */
export const createValueIndex = <Row extends { readonly id: string }>(
  columnOf: (row: Row) => string | undefined,
): ValueIndex<Row> => {
  const identifiersByValue = new Map<string, Set<string>>();

  const removeRow = (row: Row): void => {
    const value = columnOf(row);
    if (value === undefined) return;
    const identifiers = identifiersByValue.get(value);
    identifiers?.delete(row.id);
    if (identifiers?.size === 0) identifiersByValue.delete(value);
  };

  const addRow = (row: Row): void => {
    const value = columnOf(row);
    if (value === undefined) return;
    const identifiers = identifiersByValue.get(value);
    if (identifiers === undefined) identifiersByValue.set(value, new Set([row.id]));
    else identifiers.add(row.id);
  };

  return {
    identifiers: (value) => identifiersByValue.get(value) ?? noIdentifiers,
    values: () => identifiersByValue.keys(),
    onDidChangeRow: (before, after) => {
      const isUnmoved =
        before !== undefined && after !== undefined && columnOf(before) === columnOf(after);
      if (isUnmoved) return;
      if (before !== undefined) removeRow(before);
      if (after !== undefined) addRow(after);
    },
  };
};

/** Rows by the value of one column, in no order, from which one can be drawn at constant cost. */
export interface DrawIndex<Row> extends IndexMaintenance<Row> {
  /** The identifiers with this value; positions are stable only until the next change. */
  readonly identifiers: (value: string) => readonly string[];
}

const emptyList: readonly string[] = [];

/** Creates an index from which rows are drawn by position; undefined columns are left out. */
export const createDrawIndex = <Row extends { readonly id: string }>(
  columnOf: (row: Row) => string | undefined,
): DrawIndex<Row> => {
  const listsByValue = new Map<string, string[]>();
  const positions = new Map<string, number>();

  const removeRow = (id: string, value: string): void => {
    const list = listsByValue.get(value)!;
    const position = positions.get(id)!;
    const last = list.pop()!;
    positions.delete(id);
    if (last !== id) {
      list[position] = last;
      positions.set(last, position);
    }
    if (list.length === 0) listsByValue.delete(value);
  };

  const addRow = (id: string, value: string): void => {
    const list = listsByValue.get(value) ?? [];
    listsByValue.set(value, list);
    positions.set(id, list.length);
    list.push(id);
  };

  return {
    identifiers: (value) => listsByValue.get(value) ?? emptyList,
    onDidChangeRow: (before, after) => {
      const oldValue = before === undefined ? undefined : columnOf(before);
      const newValue = after === undefined ? undefined : columnOf(after);
      if (oldValue === newValue) return;
      if (oldValue !== undefined) removeRow(before!.id, oldValue);
      if (newValue !== undefined) addRow(after!.id, newValue);
    },
  };
};

/** Rows by a deadline; each deadline is reported once, and again only after the column has changed. */
export interface DeadlineIndex<Row> extends IndexMaintenance<Row> {
  /** The earliest deadline that has not been reported, or `never`. */
  readonly earliest: () => Instant;
  /** Takes the identifiers whose deadline is not after `now`. */
  readonly takeDue: (now: Instant) => string[];
}

/** Creates an index over the deadline that `deadlineOf` reads; `never` leaves a row out. */
export const createDeadlineIndex = <Row extends { readonly id: string }>(
  deadlineOf: (row: Row) => Instant,
): DeadlineIndex<Row> => {
  const heap = createHeap<string>();
  const armed = new Map<string, Instant>();

  const skipObsolete = (): void => {
    let first = heap.peek();
    while (first !== undefined && armed.get(first.value) !== first.priority) {
      heap.pop();
      first = heap.peek();
    }
  };

  const earliest = (): Instant => {
    skipObsolete();
    return heap.peek()?.priority ?? never;
  };

  const arm = (row: Row): void => {
    const deadline = deadlineOf(row);
    if (deadline === never) {
      armed.delete(row.id);
      return;
    }
    armed.set(row.id, deadline);
    heap.push(deadline, row.id);
  };

  return {
    earliest,
    takeDue: (now) => {
      const due: string[] = [];
      while (earliest() <= now) {
        const identifier = heap.pop()!.value;
        armed.delete(identifier);
        due.push(identifier);
      }
      return due;
    },
    onDidChangeRow: (before, after) => {
      if (after === undefined) {
        if (before !== undefined) armed.delete(before.id);
        return;
      }
      const isUnmoved = before !== undefined && deadlineOf(before) === deadlineOf(after);
      if (!isUnmoved) arm(after);
    },
  };
};
