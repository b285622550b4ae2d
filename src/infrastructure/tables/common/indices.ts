/**
 * Value and deadline indices of a table. Only the table updates them, on every change of a row, so
 * that an index cannot become inconsistent with the rows.
 */
import { createKeyedHeap } from '../../../base/common/keyedHeap.js';
import { never, type Instant } from '../../../base/common/time.js';

/** An index that is notified of each row change; `undefined` means that there is no row. */
export interface RowIndex<Row> {
  readonly onDidChangeRow: (before: Row | undefined, after: Row | undefined) => void;
}

/** Row identifiers by the value of one column. */
export interface ValueIndex<Row> extends RowIndex<Row> {
  readonly identifiers: (value: string) => ReadonlySet<string>;
  readonly values: () => Iterable<string>;
}

const noIdentifiers: ReadonlySet<string> = new Set();

/** Creates an index over the column returned by `columnOf`; undefined excludes a row. */
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
      const isUnchanged =
        before !== undefined && after !== undefined && columnOf(before) === columnOf(after);
      if (isUnchanged) return;
      if (before !== undefined) removeRow(before);
      if (after !== undefined) addRow(after);
    },
  };
};

/** Rows ordered by a deadline. Each deadline is reported once, unless the column changes. */
export interface DeadlineIndex<Row> extends RowIndex<Row> {
  /** The earliest unreported deadline, or `never`. */
  readonly earliest: () => Instant;
  /** Removes and returns the identifiers whose deadline is at or before `now`. */
  readonly takeDue: (now: Instant) => readonly string[];
}

const noneDue: readonly string[] = [];

/** Creates an index over the deadline returned by `deadlineOf`; `never` excludes a row. */
export const createDeadlineIndex = <Row extends { readonly id: string }>(
  deadlineOf: (row: Row) => Instant,
): DeadlineIndex<Row> => {
  const heap = createKeyedHeap();

  const earliest = (): Instant => heap.lowestPriority() ?? never;

  const scheduleRow = (row: Row): void => {
    const deadline = deadlineOf(row);
    if (deadline === never) heap.remove(row.id);
    else heap.set(row.id, deadline);
  };

  return {
    earliest,
    takeDue: (now) => {
      if (earliest() > now) return noneDue;
      const due: string[] = [];
      while (earliest() <= now) {
        const identifier = heap.first()!;
        heap.remove(identifier);
        due.push(identifier);
      }
      return due;
    },
    onDidChangeRow: (before, after) => {
      if (after === undefined) {
        if (before !== undefined) heap.remove(before.id);
        return;
      }
      const isUnchanged = before !== undefined && deadlineOf(before) === deadlineOf(after);
      if (!isUnchanged) scheduleRow(after);
    },
  };
};
