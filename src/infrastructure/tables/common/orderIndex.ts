/**
 * An index that returns the row with the lowest rank of a group. A change costs logarithmic time in
 * the size of the group, a lookup amortized constant time.
 */
import { createKeyedHeap, type KeyedHeap } from '../../../base/common/keyedHeap.js';
import type { RowIndex } from './indices.js';

/** The columns by which rows are grouped and ordered. */
export interface OrderColumns<Row> {
  /** The group of the row; undefined excludes it. */
  readonly group: (row: Row) => string | undefined;
  /** The rank of the row in its group; the lowest rank is first. */
  readonly rank: (row: Row) => number;
}

/** Row identifiers of each group, ordered by rank. */
export interface OrderIndex<Row> extends RowIndex<Row> {
  /** The identifier of the row with the lowest rank in the group. */
  readonly first: (group: string) => string | undefined;
}

/** Creates an empty order index. */
export const createOrderIndex = <Row extends { readonly id: string }>(
  columns: OrderColumns<Row>,
): OrderIndex<Row> => {
  const heaps = new Map<string, KeyedHeap>();

  const removeRow = (row: Row): void => {
    const group = columns.group(row);
    if (group === undefined) return;
    const heap = heaps.get(group);
    heap?.remove(row.id);
    if (heap?.size() === 0) heaps.delete(group);
  };

  const setRow = (row: Row): void => {
    const group = columns.group(row);
    if (group === undefined) return;
    const heap = heaps.get(group) ?? createKeyedHeap();
    heaps.set(group, heap);
    heap.set(row.id, columns.rank(row));
  };

  return {
    first: (group) => heaps.get(group)?.first(),
    onDidChangeRow: (before, after) => {
      const groupBefore = before === undefined ? undefined : columns.group(before);
      const groupAfter = after === undefined ? undefined : columns.group(after);
      if (groupBefore !== groupAfter && before !== undefined) removeRow(before);
      if (after !== undefined) setRow(after);
    },
  };
};
