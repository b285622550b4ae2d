/**
 * Selects the entries for the next message to a follower. Entries are sent before earlier ones are
 * acknowledged, up to a limit in bytes, so that a follower that is far behind neither costs its
 * leader the memory of all that it lacks nor delays the renewals that are sent after it.
 */
import {
  maximumBatchBytes,
  maximumUnacknowledgedBytes,
  takeBatch,
  type Batch,
} from '../../../infrastructure/wire/common/frameLimits.js';
import type { World } from '../../world/common/world.js';
import { maximumEntriesPerMessage } from './consensusTiming.js';
import { entryIdOf, type LogEntryRow } from './replicaTables.js';

/** Yields the rows of entries from `first` to `last` inclusive, up to the first missing one. */
export function* entryRowsBetween(
  world: World,
  first: number,
  last: number,
): Generator<LogEntryRow, void, undefined> {
  for (let index = first; index <= last; index += 1) {
    const row = world.logEntries.get(entryIdOf(index));
    if (row === undefined) return;
    yield row;
  }
}

const bytesOfEntry = ({ encodedBytes }: LogEntryRow): number => encodedBytes;

/** Returns the size of the entries from `first` to `last` inclusive. */
export const computeEntryBytes = (world: World, first: number, last: number): number =>
  [...entryRowsBetween(world, first, last)].reduce((sum, row) => sum + bytesOfEntry(row), 0);

/** No entries. */
export const emptyBatch: Batch<LogEntryRow> = { rows: [], bytes: 0 };

/**
 * Selects entries for one message to a follower to which `unacknowledgedBytes` are under way. An
 * entry that exceeds the limits is sent alone, once all earlier ones are acknowledged.
 */
export const selectEntryBatch = (
  rows: Iterable<LogEntryRow>,
  unacknowledgedBytes: number,
): Batch<LogEntryRow> => {
  const maximumBytes = Math.min(
    maximumBatchBytes,
    maximumUnacknowledgedBytes - unacknowledgedBytes,
  );
  const batch = takeBatch(rows, bytesOfEntry, {
    maximumRows: maximumEntriesPerMessage,
    maximumBytes,
  });
  return batch.bytes > maximumBytes && unacknowledgedBytes > 0 ? emptyBatch : batch;
};
