/**
 * Rebuilds the durable state of a voter by replaying the records in its data folder.
 */
import { err, ok, type Result } from 'neverthrow';
import {
  createStorageError,
  StorageErrorKind,
  type StorageError,
} from '../../../infrastructure/storage/common/storageError.js';
import {
  createReplay,
  storageRecordSchema,
  type DurableState,
} from '../../../service/consensus/common/durableState.js';

/**
 * Replays records in order. A record that does not match the schema is an error; no record is
 * skipped.
 */
export const replayRecords = (values: readonly unknown[]): Result<DurableState, StorageError> => {
  const replay = createReplay();
  for (const [index, value] of values.entries()) {
    const parsedRecord = storageRecordSchema.safeParse(value);
    if (!parsedRecord.success) {
      const detail = `Storage record ${index + 1} does not match any known record schema.`;
      return err(createStorageError(StorageErrorKind.UnknownRecord, detail));
    }
    replay.apply(parsedRecord.data);
  }
  return ok(replay.state());
};
