/**
 * What can be wrong with durable state. Every message names the remedy; nothing is repaired by leaving
 * out what was once synced.
 */
import type { ValueOf } from '../../../base/common/handlers.js';

export const StorageErrorKind = {
  /** Bytes that were written do not agree with their checksum. */
  Corrupt: 'storageCorrupt',
  /** A file that must be there is not. */
  SegmentMissing: 'storageSegmentMissing',
  DiskFull: 'storageDiskFull',
  /** Another process uses the folder. */
  Locked: 'storageLocked',
  /** A record is whole and does not have the form that is needed. */
  UnknownRecord: 'storageUnknownRecord',
  /** Any other refusal of the operating system. */
  Failed: 'storageFailed',
} as const;
export type StorageErrorKind = ValueOf<typeof StorageErrorKind>;

export interface StorageError {
  readonly kind: StorageErrorKind;
  readonly message: string;
}

const remedyByKind: Readonly<Record<StorageErrorKind, string>> = {
  storageCorrupt:
    'Replace the disk or the VM and let the daemon begin with an empty data folder while the other ' +
    'control daemons run, which hold the state. Do not delete single files.',
  storageSegmentMissing:
    'Put the file back, or let the daemon begin with an empty data folder while the others run.',
  storageDiskFull: 'Free space on the disk of the data folder and start the daemon again.',
  storageLocked: 'Stop the other process, or give this daemon a data folder of its own.',
  storageUnknownRecord: 'Run the release that wrote the data folder, or a later one.',
  storageFailed: 'Check the permissions and the disk of the data folder, and start it again.',
};

/** Makes an error; `detail` says where, and is put before the remedy. */
export const createStorageError = (kind: StorageErrorKind, detail: string): StorageError => ({
  kind,
  message: `${detail} ${remedyByKind[kind]}`,
});
