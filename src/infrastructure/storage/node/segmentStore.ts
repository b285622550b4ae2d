/**
 * Stores records in numbered segment files of one folder. Records are appended to the last segment
 * and are durable once `append` resolves. Opening reads all records and truncates a torn write at
 * the end, which was never synced; corrupt or missing files are errors.
 */
import { mkdirSync, readdirSync, readFileSync } from 'node:fs';
import { open, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { err, ok, Result, ResultAsync } from 'neverthrow';
import type { AsyncDisposable, Disposable } from '../../../base/common/disposable.js';
import { createDisposable } from '../../../base/common/disposable.js';
import { createStorageError, StorageErrorKind, type StorageError } from '../common/storageError.js';
import { lockFolder } from './folderLock.js';
import { decodeRecords } from './recordCodec.js';

/** Once a segment has reached this size, the next append starts a new one. */
const maximumSegmentBytes = 8 * 1024 * 1024;
const segmentPattern = /^log-(\d{8})\.segment$/;
const segmentNumberDigits = 8;

const segmentName = (number: number): string =>
  `log-${String(number).padStart(segmentNumberDigits, '0')}.segment`;

/** An open data folder. */
export interface SegmentStore extends AsyncDisposable {
  /** The decoded records that existed when the folder was opened, in order. */
  readonly values: readonly unknown[];
  /** Appends and syncs encoded records. After an error the same records can be appended again. */
  readonly append: (records: readonly Buffer[]) => ResultAsync<void, StorageError>;
}

const kindByCode: Readonly<Record<string, StorageErrorKind>> = {
  ENOSPC: StorageErrorKind.DiskFull,
  EDQUOT: StorageErrorKind.DiskFull,
};

const toStorageError = (error: unknown): StorageError => {
  const { code = '', message } = error as NodeJS.ErrnoException;
  const kind = kindByCode[code] ?? StorageErrorKind.Failed;
  return createStorageError(kind, `A storage operation failed (${message}).`);
};

const findSegments = (folder: string): Result<number[], StorageError> => {
  const numbers = readdirSync(folder)
    .map((name) => segmentPattern.exec(name)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number)
    .sort((first, second) => first - second);
  const missing = numbers.findIndex((number, position) => number !== position + 1);
  if (missing < 0) return ok(numbers);
  const detail = `The segment file ${segmentName(missing + 1)} is missing in ${folder}.`;
  return err(createStorageError(StorageErrorKind.SegmentMissing, detail));
};

interface ReadSegment {
  readonly values: readonly unknown[];
  readonly validBytes: number;
}

const readSegment = (
  folder: string,
  number: number,
  isLast: boolean,
): Result<ReadSegment, StorageError> => {
  const file = join(folder, segmentName(number));
  const bytes = readFileSync(file);
  return decodeRecords(bytes)
    .mapErr((error) => ({ ...error, message: `${file}: ${error.message}` }))
    .andThen((read) => {
      if (isLast || read.validBytes === bytes.length) return ok(read);
      const detail = `The segment file ${file} ends inside a record but is not the last segment.`;
      return err(createStorageError(StorageErrorKind.Corrupt, detail));
    });
};

/** Opens a file for appending. */
export type OpenFile = (path: string, flags: 'a') => Promise<FileHandle>;

const syncFolder = async (folder: string): Promise<void> => {
  const handle = await open(folder, 'r');
  await handle.sync();
  await handle.close();
};

const prepareSegment = async (
  handle: FileHandle,
  folder: string,
  length: number,
): Promise<FileHandle> => {
  await handle.truncate(length);
  await handle.sync();
  await syncFolder(folder);
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
  openFile: OpenFile,
): Promise<FileHandle> => {
  const handle = await openFile(join(folder, segmentName(number)), 'a');
  try {
    return await prepareSegment(handle, folder, length);
  } catch (error) {
    await handle.close();
    throw error;
  }
};

const createAppender = async (
  folder: string,
  lastNumber: number,
  lastBytes: number,
  openFile: OpenFile,
) => {
  let number = lastNumber;
  let bytes = lastBytes;
  let handle = await openSegment(folder, number, bytes, openFile);

  /** The current segment stays open until the next one is, so that an error changes nothing. */
  const startNextSegment = async (): Promise<void> => {
    const next = await openSegment(folder, number + 1, 0, openFile);
    const previous = handle;
    number += 1;
    bytes = 0;
    handle = next;
    await previous.close();
  };

  let hasPartialWrite = false;

  return {
    append: async (records: readonly Buffer[]): Promise<void> => {
      // A failed write may have left a partial record.
      if (hasPartialWrite) await handle.truncate(bytes);
      if (bytes >= maximumSegmentBytes) await startNextSegment();
      const batch = Buffer.concat(records);
      hasPartialWrite = true;
      await handle.appendFile(batch);
      await handle.datasync();
      hasPartialWrite = false;
      bytes += batch.length;
    },
    dispose: () => handle.close(),
  };
};

const readFolder = (folder: string): Result<ReadSegment[], StorageError> =>
  findSegments(folder).andThen((numbers) =>
    Result.combine(numbers.map((number) => readSegment(folder, number, number === numbers.length))),
  );

const openWithoutLock = async (
  folder: string,
  openFile: OpenFile,
): Promise<Result<SegmentStore, StorageError>> => {
  const segments = readFolder(folder);
  if (segments.isErr()) return err(segments.error);
  const lastNumber = Math.max(1, segments.value.length);
  const lastBytes = segments.value.at(-1)?.validBytes ?? 0;
  const appender = await createAppender(folder, lastNumber, lastBytes, openFile);
  return ok({
    values: segments.value.flatMap(({ values }) => values),
    append: (records) => ResultAsync.fromPromise(appender.append(records), toStorageError),
    dispose: appender.dispose,
  });
};

/** Options for opening a folder. */
export interface SegmentStoreOptions {
  /** Whether to lock the folder against a second process; requires hard links. */
  readonly shouldLock: boolean;
  /** Opens a segment file; by default the function of the runtime. */
  readonly openFile?: OpenFile;
}

const noLock: Disposable = createDisposable(() => {});

const openWithLock = async (
  folder: string,
  { shouldLock, openFile = open }: SegmentStoreOptions,
): Promise<Result<SegmentStore, StorageError>> => {
  mkdirSync(folder, { recursive: true });
  const lock = shouldLock ? lockFolder(folder) : ok(noLock);
  if (lock.isErr()) return err(lock.error);
  const outcome = await ResultAsync.fromPromise(openWithoutLock(folder, openFile), toStorageError);
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
