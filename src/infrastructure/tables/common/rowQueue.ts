/**
 * First-in, first-out queues of rows with a single reader: inputs that ports append for a system,
 * and outputs that systems append for a port.
 */
import { never } from '../../../base/common/time.js';
import { RowReader } from './rowReader.js';
import type { AnyTable } from './table.js';

/** Rows in the order in which they were appended; each is returned once. */
export interface RowQueue<Row> extends AnyTable {
  readonly append: (row: Row) => void;
  readonly takeAll: () => readonly Row[];
}

const noRows: readonly never[] = [];

/** Creates an empty queue. */
export const createRowQueue = <Row>(name: string, reader: RowReader): RowQueue<Row> => {
  let rows: Row[] = [];
  return {
    name,
    size: () => rows.length,
    hasDeadlines: false,
    earliestDeadline: () => never,
    hasUnreadChanges: () => reader === RowReader.System && rows.length > 0,
    append: (row) => {
      rows.push(row);
    },
    takeAll: () => {
      if (rows.length === 0) return noRows;
      const taken = rows;
      rows = [];
      return taken;
    },
  };
};
