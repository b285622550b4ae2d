/**
 * Limits of messages between daemons in encoded bytes, and the one rule by which lists are divided
 * among messages: a message has a maximum of rows and of bytes, but always at least one row. A row
 * must therefore fit a frame by itself, which is checked where it is accepted.
 */

/** Maximum frame size: twice a declaration with the maximum body size of 32 MiB. */
export const maximumFrameBytes = 64 * 1024 * 1024;

/** Part of a frame that is left for the envelope and the other fields of a message. */
const frameOverheadBytes = 64 * 1024;

/** Maximum size of one row, so that a message with it fits a frame. */
export const maximumRowBytes = maximumFrameBytes - frameOverheadBytes;

/** Maximum size of the rows of one message; other messages to the receiver wait no longer. */
export const maximumBatchBytes = 256 * 1024;

/** Maximum size of rows that were sent to one receiver and not acknowledged. */
export const maximumUnacknowledgedBytes = 1024 * 1024;

/**
 * Maximum bytes in the send buffer of a connection; messages beyond it are dropped. Frames that are
 * written together count until the last of them is written, when the receiver may have acknowledged
 * the others and be sent as much again, and both may be sent again after a delay.
 */
export const maximumBufferedBytes = 4 * maximumUnacknowledgedBytes;

/** Limits of the rows of one message. */
export interface BatchLimits {
  readonly maximumRows: number;
  readonly maximumBytes: number;
}

/** Rows for one message, and their size. */
export interface Batch<Row> {
  readonly rows: readonly Row[];
  readonly bytes: number;
}

/**
 * Takes rows from the start of a list while they are within both limits. The first row is taken
 * whatever its size. `rows` is read no further than needed.
 */
export const takeBatch = <Row>(
  rows: Iterable<Row>,
  bytesOf: (row: Row) => number,
  { maximumRows, maximumBytes }: BatchLimits,
): Batch<Row> => {
  const taken: Row[] = [];
  let bytes = 0;
  for (const row of rows) {
    const rowBytes = bytesOf(row);
    const isWithinLimits = taken.length < maximumRows && bytes + rowBytes <= maximumBytes;
    if (taken.length > 0 && !isWithinLimits) break;
    taken.push(row);
    bytes += rowBytes;
  }
  return { rows: taken, bytes };
};

function* rowsFrom<Row>(rows: readonly Row[], start: number): Generator<Row, void, undefined> {
  for (let position = start; position < rows.length; position += 1) yield rows[position]!;
}

/** Divides a list into batches that are each within the limits. */
export const divideIntoBatches = <Row>(
  rows: readonly Row[],
  bytesOf: (row: Row) => number,
  limits: BatchLimits,
): (readonly Row[])[] => {
  const batches: (readonly Row[])[] = [];
  let position = 0;
  while (position < rows.length) {
    const batch = takeBatch(rowsFrom(rows, position), bytesOf, limits);
    batches.push(batch.rows);
    position += batch.rows.length;
  }
  return batches;
};
