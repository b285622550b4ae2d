/**
 * Turns the records of storage into the state of a voter.
 */
import { err, ok, type Result } from 'neverthrow';
import {
  createStorageError,
  StorageErrorKind,
  type StorageError,
} from '../../../infrastructure/storage/common/storageError.js';
import {
  createReplay,
  storageWriteSchema,
  type DurableState,
} from '../../../service/consensus/common/durableState.js';

/** Replays records in order; a record of another form is an error and nothing is left out. */
export const replayRecords = (values: readonly unknown[]): Result<DurableState, StorageError> => {
  const replay = createReplay();
  for (const [index, value] of values.entries()) {
    const parsedWrite = storageWriteSchema.safeParse(value);
    if (!parsedWrite.success) {
      const detail = `Record ${index + 1} has an unknown form.`;
      return err(createStorageError(StorageErrorKind.UnknownRecord, detail));
    }
    replay.apply(parsedWrite.data);
  }
  return ok(replay.state());
};
