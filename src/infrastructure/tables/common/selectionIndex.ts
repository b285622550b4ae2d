/**
 * An index for selecting one row by position, such as a random one, in constant time. A row can be
 * indexed under several values, for example under each model that it serves.
 */
import type { RowIndex } from './indices.js';

/** Returns the values under which a row is indexed; undefined excludes it. */
export type SelectionColumn<Row> = (row: Row) => string | readonly string[] | undefined;

/** Unordered identifiers by value, accessible by position in constant time. */
export interface SelectionIndex<Row> extends RowIndex<Row> {
  /** The identifiers with this value; positions are valid only until the next change. */
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

/** Removes an identifier in constant time by moving the last one to its position. */
const removeFromList = (list: SelectionList, id: string): void => {
  const position = list.positions.get(id);
  if (position === undefined) return;
  const last = list.identifiers.pop()!;
  list.positions.delete(id);
  if (last === id) return;
  list.identifiers.splice(position, 1, last);
  list.positions.set(last, position);
};

/** Creates an empty selection index over a column. */
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
