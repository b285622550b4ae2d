/**
 * Stores records in numbered segment files of one folder. Records are appended to the last segment
 * and are durable once `append` resolves. Opening reads all records and truncates a torn write at
 * the end, which was never synced; corrupt or missing files are errors. `replace` and `compact`
 * exchange all records for new ones in one step, by a base file that takes its name only when it is
 * complete; records can be appended while `compact` writes it.
 */
import { mkdirSync } from 'node:fs';
import type { FileHandle } from 'node:fs/promises';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { AsyncDisposable, Disposable } from '../../../base/common/disposable.js';
import { createDisposable } from '../../../base/common/disposable.js';
import type { StorageError } from '../common/storageError.js';
import { writeBase } from './baseFile.js';
import { lockFolder } from './folderLock.js';
import { nodeFiles, toStorageError, type SegmentFiles } from './segmentFiles.js';
import {
  firstSegmentNumber,
  readFolder,
  removeObsoleteFiles,
  segmentPath,
} from './segmentFolder.js';

export type { OpenFile } from './segmentFiles.js';

/** Once a segment has reached this size, the next append starts a new one. */
const maximumSegmentBytes = 8 * 1024 * 1024;

/**
 * Size up to which the runtime passes a buffer to the system in one write. After a loss of power, each
 * write since the last sync may be missing by itself, so a log is synced after each one: a missing
 * write between two others would make the records after it unreadable.
 */
const maximumWriteBytes = 512 * 1024;

const appendAndSync = async (handle: FileHandle, bytes: Buffer): Promise<void> => {
  for (let offset = 0; offset < bytes.length; offset += maximumWriteBytes) {
    // eslint-disable-next-line no-await-in-loop -- each write is synced before the next one
    await handle.appendFile(bytes.subarray(offset, offset + maximumWriteBytes));
    // eslint-disable-next-line no-await-in-loop -- as above
    await handle.datasync();
  }
};

/** An open data folder. At most one of its operations may run at a time. */
export interface SegmentStore extends AsyncDisposable {
  /** The decoded records that existed when the folder was opened, in order. */
  readonly values: readonly unknown[];
  /** Appends and syncs encoded records. After an error the same records can be appended again. */
  readonly append: (records: readonly Buffer[]) => ResultAsync<void, StorageError>;
  /**
   * Replaces all records by others in one step; `records` is read no faster than it is written.
   * After an error, the folder has either the old or the new records. So they must result in the same
   * state, or the call must be repeated until it succeeds before anything else is appended.
   */
  readonly replace: (records: Iterable<Buffer>) => ResultAsync<void, StorageError>;
  /**
   * Starts to replace the records so far by others that result in the same state. Resolves once
   * records can be appended again, which is before `records` is read. `onDidEnd` is called when the
   * replacement has ended; after an error the folder keeps the old records. It must not be called
   * while an earlier compaction runs.
   */
  readonly compact: (
    records: Iterable<Buffer>,
    onDidEnd: (result: Result<void, StorageError>) => void,
  ) => ResultAsync<void, StorageError>;
}

const prepareSegment = async (
  handle: FileHandle,
  folder: string,
  length: number,
  files: SegmentFiles,
): Promise<FileHandle> => {
  await handle.truncate(length);
  await handle.sync();
  await files.syncFolder(folder);
  return handle;
};

/**
 * Opens a segment for appending at `length` bytes, and syncs the file and the folder. After an error
 * the same segment can be opened again.
 */
const openSegment = async (
  folder: string,
  number: number,
  length: number,
  files: SegmentFiles,
): Promise<FileHandle> => {
  const handle = await files.openFile(segmentPath(folder, number), 'a');
  try {
    return await prepareSegment(handle, folder, length, files);
  } catch (error) {
    await handle.close();
    throw error;
  }
};

const createAppender = async (
  folder: string,
  lastNumber: number,
  lastBytes: number,
  files: SegmentFiles,
) => {
  let number = lastNumber;
  let bytes = lastBytes;
  let handle = await openSegment(folder, number, bytes, files);

  /** The current segment stays open until the next one is, so that an error changes nothing. */
  const startNextSegment = async (): Promise<void> => {
    const next = await openSegment(folder, number + 1, 0, files);
    const previous = handle;
    number += 1;
    bytes = 0;
    handle = next;
    await previous.close();
  };

  let hasPartialWrite = false;

  /** Removes the partial record that a failed write may have left. */
  const discardPartialWrite = async (): Promise<void> => {
    if (!hasPartialWrite) return;
    await handle.truncate(bytes);
    // Durable before a next segment is: only the last segment may end inside a record.
    await handle.datasync();
    hasPartialWrite = false;
  };

  /** Starts the segment that follows a base, unless the current one can follow it. */
  const startSegmentOfBase = async (): Promise<number> => {
    if (bytes > 0 || number === firstSegmentNumber) await startNextSegment();
    return number;
  };

  /** Settles when the compaction that was started last has ended. */
  let compaction: Promise<void> | undefined;

  const appendBatch = async (batch: Buffer): Promise<void> => {
    await discardPartialWrite();
    if (bytes >= maximumSegmentBytes) await startNextSegment();
    hasPartialWrite = true;
    await appendAndSync(handle, batch);
    hasPartialWrite = false;
    bytes += batch.length;
  };

  return {
    append: async (records: readonly Buffer[]): Promise<void> => {
      const batch = Buffer.concat(records);
      const runningCompaction = compaction;
      try {
        await appendBatch(batch);
      } catch (error) {
        if (runningCompaction === undefined) throw error;
        // On a full disk, the end of a compaction frees the space of its unfinished base.
        await runningCompaction;
        await appendBatch(batch);
      }
    },
    replace: async (records: Iterable<Buffer>): Promise<void> => {
      await compaction;
      await discardPartialWrite();
      await writeBase(folder, records, startSegmentOfBase, files);
    },
    compact: async (
      records: Iterable<Buffer>,
      onDidEnd: (result: Result<void, StorageError>) => void,
    ): Promise<void> => {
      await discardPartialWrite();
      // What is appended from now on is not in the base, so it must follow the base.
      const baseNumber = await startSegmentOfBase();
      const written = ResultAsync.fromPromise(
        writeBase(folder, records, () => Promise.resolve(baseNumber), files),
        toStorageError,
      );
      compaction = (async () => {
        const result = await written;
        compaction = undefined;
        onDidEnd(result);
      })();
    },
    dispose: async (): Promise<void> => {
      await compaction;
      await handle.close();
    },
  };
};

const openWithoutLock = async (
  folder: string,
  files: SegmentFiles,
): Promise<Result<SegmentStore, StorageError>> => {
  const contents = readFolder(folder);
  if (contents.isErr()) return err(contents.error);
  const { values, baseNumber, lastNumber, lastBytes } = contents.value;
  // Syncs the folder, and with it the name of a base that was not synced before its process ended.
  const appender = await createAppender(folder, lastNumber, lastBytes, files);
  await removeObsoleteFiles(folder, baseNumber ?? firstSegmentNumber, files);
  return ok({
    values,
    append: (records) => ResultAsync.fromPromise(appender.append(records), toStorageError),
    replace: (records) => ResultAsync.fromPromise(appender.replace(records), toStorageError),
    compact: (records, onDidEnd) =>
      ResultAsync.fromPromise(appender.compact(records, onDidEnd), toStorageError),
    dispose: appender.dispose,
  });
};

/** Options for opening a folder; operations of the file system are those of the runtime by default. */
export interface SegmentStoreOptions extends Partial<SegmentFiles> {
  /** Whether to lock the folder against a second process; requires hard links. */
  readonly shouldLock: boolean;
}

const noLock: Disposable = createDisposable(() => {});

const openWithLock = async (
  folder: string,
  { shouldLock, ...files }: SegmentStoreOptions,
): Promise<Result<SegmentStore, StorageError>> => {
  mkdirSync(folder, { recursive: true });
  const lock = shouldLock ? lockFolder(folder) : ok(noLock);
  if (lock.isErr()) return err(lock.error);
  const outcome = await ResultAsync.fromPromise(
    openWithoutLock(folder, { ...nodeFiles, ...files }),
    toStorageError,
  );
  const store = outcome.andThen((result) => result);
  if (store.isErr()) lock.value.dispose();
  return store.map((opened) => ({
    ...opened,
    dispose: async () => {
      await opened.dispose();
      lock.value.dispose();
    },
  }));
};

/** Opens a folder, creating it if necessary, and locks it by default. */
export const openSegmentStore = async (
  folder: string,
  options: SegmentStoreOptions = { shouldLock: true },
): Promise<Result<SegmentStore, StorageError>> => {
  const opened = await ResultAsync.fromPromise(openWithLock(folder, options), toStorageError);
  return opened.andThen((result) => result);
};
