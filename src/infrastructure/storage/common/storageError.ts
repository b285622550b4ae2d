/**
 * Errors of durable storage. Each message includes the remedy. Synced data is never discarded to
 * repair a data folder.
 */
import type { ValueOf } from '../../../base/common/handlers.js';

export const StorageErrorKind = {
  /** Stored bytes do not match their checksum. */
  Corrupt: 'storageCorrupt',
  /** A segment file is missing. */
  SegmentMissing: 'storageSegmentMissing',
  DiskFull: 'storageDiskFull',
  /** Another process uses the folder. */
  Locked: 'storageLocked',
  /** A record is intact but its format is unknown. */
  UnknownRecord: 'storageUnknownRecord',
  /** Any other error of the operating system. */
  Failed: 'storageFailed',
} as const;
export type StorageErrorKind = ValueOf<typeof StorageErrorKind>;

export interface StorageError {
  readonly kind: StorageErrorKind;
  readonly message: string;
}

const remedyByKind: Readonly<Record<StorageErrorKind, string>> = {
  storageCorrupt:
    'Replace the disk or the VM and start the daemon with an empty data folder while the other ' +
    'control daemons, which have the state, are running. Do not delete individual files.',
  storageSegmentMissing:
    'Restore the file, or start the daemon with an empty data folder while the others are running.',
  storageDiskFull: 'Free disk space for the data folder and restart the daemon.',
  storageLocked: 'Stop the other process, or configure a separate data folder for this daemon.',
  storageUnknownRecord: 'Use the release that wrote the data folder, or a later one.',
  storageFailed: 'Check the permissions and the disk of the data folder, and restart the daemon.',
};

/** Creates an error; `detail` is a sentence with the location and precedes the remedy. */
export const createStorageError = (kind: StorageErrorKind, detail: string): StorageError => ({
  kind,
  message: `${detail} ${remedyByKind[kind]}`,
});
