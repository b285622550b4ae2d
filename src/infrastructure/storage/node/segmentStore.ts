/**
 * Stores records in numbered segment files of one folder. Records are appended to the last segment
 * and are durable once `append` resolves. Opening reads all records and truncates a torn write at
 * the end, which was never synced; corrupt or missing files are errors. `replace` exchanges all
 * records for new ones in one step, by a base file that takes its name only when it is complete.
 */
import { mkdirSync } from 'node:fs';
import type { FileHandle } from 'node:fs/promises';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { AsyncDisposable, Disposable } from '../../../base/common/disposable.js';
import { createDisposable } from '../../../base/common/disposable.js';
import type { StorageError } from '../common/storageError.js';
import { lockFolder } from './folderLock.js';
import { nodeFiles, toStorageError, type SegmentFiles } from './segmentFiles.js';
import {
  basePath,
  encodeBaseEnd,
  firstSegmentNumber,
  readFolder,
  removeObsoleteFiles,
  segmentPath,
  unfinishedBasePath,
} from './segmentFolder.js';

export type { OpenFile } from './segmentFiles.js';

/** Once a segment has reached this size, the next append starts a new one. */
const maximumSegmentBytes = 8 * 1024 * 1024;

/**
 * Size from which records of a base are written together. They are encoded and written in turn, so
 * it bounds the memory, and the time for which ticks wait for the encoding (a few milliseconds).
 */
const baseChunkBytes = 1024 * 1024;

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

/** Joins the records of a base, and its end, to chunks. */
function* createBaseChunks(records: Iterable<Buffer>): Generator<Buffer, void, undefined> {
  let chunk: Buffer[] = [];
  let chunkBytes = 0;
  let recordCount = 0;
  for (const record of records) {
    chunk.push(record);
    chunkBytes += record.length;
    recordCount += 1;
    if (chunkBytes >= baseChunkBytes) {
      yield Buffer.concat(chunk);
      chunk = [];
      chunkBytes = 0;
    }
  }
  yield Buffer.concat([...chunk, encodeBaseEnd(recordCount)]);
}

/** Writes and syncs a base under a name that opening a folder ignores. */
const writeUnfinishedBase = async (
  folder: string,
  records: Iterable<Buffer>,
  files: SegmentFiles,
): Promise<void> => {
  const handle = await files.openFile(unfinishedBasePath(folder), 'a');
  try {
    // What a failed replacement could not remove.
    await handle.truncate(0);
    for (const chunk of createBaseChunks(records)) {
      // eslint-disable-next-line no-await-in-loop -- the event loop runs between chunks
      await handle.appendFile(chunk);
    }
    await handle.sync();
  } finally {
    await handle.close();
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

  /**
   * Gives the written base its name. The segment of the same number exists before, and is empty, so
   * that what is appended from then on follows the base, and also follows the old segments if the
   * name is lost with the power. The first segment has no base: an earlier release, which ignores
   * bases, must find a segment missing.
   */
  const finishBase = async (): Promise<void> => {
    if (bytes > 0 || number === firstSegmentNumber) await startNextSegment();
    await files.renameFile(unfinishedBasePath(folder), basePath(folder, number));
    await files.syncFolder(folder);
  };

  return {
    append: async (records: readonly Buffer[]): Promise<void> => {
      await discardPartialWrite();
      if (bytes >= maximumSegmentBytes) await startNextSegment();
      const batch = Buffer.concat(records);
      hasPartialWrite = true;
      await appendAndSync(handle, batch);
      hasPartialWrite = false;
      bytes += batch.length;
    },
    replace: async (records: Iterable<Buffer>): Promise<void> => {
      try {
        await discardPartialWrite();
        await writeUnfinishedBase(folder, records, files);
        await finishBase();
      } catch (error) {
        // Appends need its space. If that fails too, the next replacement or start removes it.
        await files.removeFile(unfinishedBasePath(folder)).catch(() => {});
        throw error;
      }
      await removeObsoleteFiles(folder, number, files);
    },
    dispose: () => handle.close(),
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
