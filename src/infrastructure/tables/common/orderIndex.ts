/**
 * An index by which the first row of a group is found: the one with the lowest rank. The cost of a change
 * grows with the logarithm of the group, that of a look-up is constant.
 */
import { createKeyedHeap, type KeyedHeap } from '../../../base/common/keyedHeap.js';
import type { RowIndex } from './indices.js';

/** Where a row stands in an order. */
export interface OrderColumns<Row> {
  /** The group in which the row is ordered; undefined leaves it out. */
  readonly group: (row: Row) => string | undefined;
  /** The row with the lowest rank is the first of its group. */
  readonly rank: (row: Row) => number;
}

/** Rows of each group by rank. */
export interface OrderIndex<Row> extends RowIndex<Row> {
  /** The identifier of the first row of the group. */
  readonly first: (group: string) => string | undefined;
}

/** Creates an empty order. */
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
