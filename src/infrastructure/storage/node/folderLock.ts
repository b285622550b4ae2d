/**
 * Locks a data folder against use by a second process, with a lock file that identifies the owner
 * by process ID, process start time and boot ID. A lock is stale, and is replaced, if its owner has
 * exited or the VM was restarted.
 */
import { linkSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { err, Result } from 'neverthrow';
import { createDisposable, type Disposable } from '../../../base/common/disposable.js';
import { createStorageError, StorageErrorKind, type StorageError } from '../common/storageError.js';

const lockName = 'lock';
const startTimeField = 19; // index of the start time in /proc/PID/stat, counted after the program name

const readText = Result.fromThrowable(
  (file: string) => readFileSync(file, 'utf8'),
  () => 'unreadable' as const,
);

/** Identifies a running process by ID, start time and boot ID; undefined if it does not exist. */
const processIdentity = (processId: number): string | undefined => {
  const boot = readText('/proc/sys/kernel/random/boot_id').unwrapOr('');
  return readText(`/proc/${processId}/stat`)
    .map((stat) => stat.slice(stat.lastIndexOf(')') + 2).split(' ')[startTimeField])
    .map((startTime) => `${processId} ${startTime} ${boot.trim()}`)
    .unwrapOr(undefined);
};

const isOwnerRunning = (owner: string): boolean =>
  processIdentity(Number.parseInt(owner, 10)) === owner;

const tryLink = Result.fromThrowable(
  (from: string, to: string) => linkSync(from, to),
  () => 'exists' as const,
);

const tryRename = Result.fromThrowable(
  (from: string, to: string) => renameSync(from, to),
  () => 'gone' as const,
);

/** Removes the lock of an owner that has exited; restores it if another process has replaced it. */
const removeStaleLock = (lockFile: string, ownFile: string, staleOwner: string): void => {
  const movedFile = `${ownFile}.obsolete`;
  if (tryRename(lockFile, movedFile).isErr()) return;
  if (readText(movedFile).unwrapOr('') !== staleOwner) tryLink(movedFile, lockFile);
  rmSync(movedFile, { force: true });
};

const createLockedError = (folder: string, owner: string): StorageError =>
  createStorageError(
    StorageErrorKind.Locked,
    `The data folder ${folder} is in use by process ${owner.split(' ', 1)[0]}.`,
  );

/** Locks an existing folder until the result is disposed of or the process exits. */
export const lockFolder = (folder: string): Result<Disposable, StorageError> => {
  const lockFile = join(folder, lockName);
  const ownFile = `${lockFile}.${process.pid}`;
  const ownIdentity = processIdentity(process.pid) ?? String(process.pid);
  const currentOwner = readText(lockFile).unwrapOr('');
  if (currentOwner !== '' && isOwnerRunning(currentOwner))
    return err(createLockedError(folder, currentOwner));
  if (currentOwner !== '') removeStaleLock(lockFile, ownFile, currentOwner);
  writeFileSync(ownFile, ownIdentity);
  const linked = tryLink(ownFile, lockFile);
  rmSync(ownFile, { force: true });
  return linked
    .map(() => createDisposable(() => rmSync(lockFile, { force: true })))
    .mapErr(() => createLockedError(folder, readText(lockFile).unwrapOr('')));
};
