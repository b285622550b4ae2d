/**
 * An index from which one row is drawn by position at constant cost, whatever the number of rows. A row
 * may stand under several values, such as one for each model that it serves.
 */
import type { RowIndex } from './indices.js';

/** The values under which a row can be drawn; undefined leaves it out. */
export type SelectionColumn<Row> = (row: Row) => string | readonly string[] | undefined;

/** Rows by value, in no order, from which one can be drawn at constant cost. */
export interface SelectionIndex<Row> extends RowIndex<Row> {
  /** The identifiers with this value; positions are stable only until the next change. */
  readonly identifiers: (value: string) => readonly string[];
}

interface SelectionList {
  readonly identifiers: string[];
  readonly positions: Map<string, number>;
}

const emptyList: readonly string[] = [];

const toValueList = (value: string | readonly string[] | undefined): readonly string[] => {
  if (value === undefined) return emptyList;
  return typeof value === 'string' ? [value] : value;
};

const areEqual = (first: readonly string[], second: readonly string[]): boolean =>
  first.length === second.length && first.every((value, index) => value === second[index]);

const addToList = (list: SelectionList, id: string): void => {
  if (list.positions.has(id)) return;
  list.positions.set(id, list.identifiers.length);
  list.identifiers.push(id);
};

/** Puts the last identifier in the place of the one that is removed. */
const removeFromList = (list: SelectionList, id: string): void => {
  const position = list.positions.get(id);
  if (position === undefined) return;
  const last = list.identifiers.pop()!;
  list.positions.delete(id);
  if (last === id) return;
  list.identifiers.splice(position, 1, last);
  list.positions.set(last, position);
};

/** Creates an index from which rows are drawn by position. */
export const createSelectionIndex = <Row extends { readonly id: string }>(
  column: SelectionColumn<Row>,
): SelectionIndex<Row> => {
  const lists = new Map<string, SelectionList>();

  const add = (id: string, value: string): void => {
    const list = lists.get(value) ?? { identifiers: [], positions: new Map<string, number>() };
    lists.set(value, list);
    addToList(list, id);
  };

  const remove = (id: string, value: string): void => {
    const list = lists.get(value);
    if (list === undefined) return;
    removeFromList(list, id);
    if (list.identifiers.length === 0) lists.delete(value);
  };

  return {
    identifiers: (value) => lists.get(value)?.identifiers ?? emptyList,
    onDidChangeRow: (before, after) => {
      const oldValues = before === undefined ? emptyList : toValueList(column(before));
      const newValues = after === undefined ? emptyList : toValueList(column(after));
      if (areEqual(oldValues, newValues)) return;
      oldValues.forEach((value) => remove(before!.id, value));
      newValues.forEach((value) => add(after!.id, value));
    },
  };
};
