/**
 * Queues of rows that are read once and in order: inputs that ports append for a system, and outputs
 * that systems append for a port.
 */
import { never } from '../../../base/common/time.js';
import type { AnyTable } from './table.js';

/** What becomes of rows that have not been taken at the end of a round of a tick. */
export const QueueReader = {
  /** A system reads the queue: the tick runs another round until it is empty. */
  System: 'system',
  /** A port reads the queue after the tick. */
  Port: 'port',
} as const;
export type QueueReader = (typeof QueueReader)[keyof typeof QueueReader];

/** Rows in the order in which they were appended; each is taken once. */
export interface RowQueue<Row> extends AnyTable {
  readonly append: (row: Row) => void;
  readonly takeAll: () => readonly Row[];
}

/** Creates an empty queue. */
export const createRowQueue = <Row>(name: string, reader: QueueReader): RowQueue<Row> => {
  let rows: Row[] = [];
  return {
    name,
    size: () => rows.length,
    earliestDeadline: () => never,
    hasUnreadChanges: () => reader === QueueReader.System && rows.length > 0,
    append: (row) => {
      rows.push(row);
    },
    takeAll: () => {
      const taken = rows;
      rows = [];
      return taken;
    },
  };
};
