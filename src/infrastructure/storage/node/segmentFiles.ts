/**
 * The operations of the file system that a data folder needs. They are options of the folder, so that
 * tests can refuse them or lose power between them.
 */
import { open, rename, rm, type FileHandle } from 'node:fs/promises';
import { createStorageError, StorageErrorKind, type StorageError } from '../common/storageError.js';

/** Opens a file for appending. */
export type OpenFile = (path: string, flags: 'a') => Promise<FileHandle>;

/** Operations of the file system. */
export interface SegmentFiles {
  readonly openFile: OpenFile;
  /** Renames a file; replaces the one that has the new name. */
  readonly renameFile: (from: string, to: string) => Promise<void>;
  /** Removes a file if it exists. */
  readonly removeFile: (path: string) => Promise<void>;
  /** Makes the names of the files in a folder durable. */
  readonly syncFolder: (folder: string) => Promise<void>;
}

/** The file system of the runtime. */
export const nodeFiles: SegmentFiles = {
  openFile: open,
  renameFile: rename,
  removeFile: (path) => rm(path, { force: true }),
  syncFolder: async (folder) => {
    const handle = await open(folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  },
};

const kindByCode: Readonly<Record<string, StorageErrorKind>> = {
  ENOSPC: StorageErrorKind.DiskFull,
  EDQUOT: StorageErrorKind.DiskFull,
};

/** Converts an exception of the file system. */
export const toStorageError = (error: unknown): StorageError => {
  const { code = '', message } = error as NodeJS.ErrnoException;
  const kind = kindByCode[code] ?? StorageErrorKind.Failed;
  return createStorageError(kind, `A storage operation failed (${message}).`);
};
