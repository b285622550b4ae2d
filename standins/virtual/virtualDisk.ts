/**
 * In-memory disks for the replicated log. Synced bytes survive a crash, and a random prefix of the
 * unsynced bytes does too. Bytes use the production record format, so that torn writes and flipped
 * bits run through the same checks.
 */
import type { Random } from '../../src/base/common/random.js';
import type { Milliseconds } from '../../src/base/common/time.js';
import { replayRecords } from '../../src/daemon/consensus/node/replayRecords.js';
import {
  createStorageError,
  StorageErrorKind,
} from '../../src/infrastructure/storage/common/storageError.js';
import { decodeRecords, encodeRecord } from '../../src/infrastructure/storage/node/recordCodec.js';
import type { StorageFact } from '../../src/service/consensus/common/replicaTables.js';
import type { VirtualContext, VirtualPort } from './virtualInstallation.js';

/** Injected faults of a disk. */
export interface DiskFaults {
  /** Whether further writes fail. */
  isFull?: boolean;
  /** Milliseconds added to each sync. */
  extraSyncDelay?: Milliseconds;
}

/** The disk of one daemon. */
export interface VirtualDisk {
  readonly faults: DiskFaults;
  readonly write: (bytes: Buffer) => void;
  /** Makes all bytes written so far durable. */
  readonly sync: () => void;
  readonly read: () => Buffer;
  /** Simulates a crash of the VM: only a random prefix of the unsynced bytes is kept. */
  readonly crash: (random: Random) => void;
  /** Flips one bit of the synced byte at an offset. */
  readonly flipBit: (byte: number) => void;
  /** Erases all bytes, like a replacement with a new disk. */
  readonly clear: () => void;
}

/** Creates an empty disk. */
export const createVirtualDisk = (): VirtualDisk => {
  // Kept as they were written: joining the bytes at each write takes time by the square of the log.
  let synced: readonly Buffer[] = [];
  let unsynced: Buffer[] = [];
  const faults: DiskFaults = {};
  const sync = (): void => {
    synced = [...synced, ...unsynced];
    unsynced = [];
  };
  return {
    faults,
    write: (bytes) => {
      unsynced.push(bytes);
    },
    sync,
    read: () => Buffer.concat([...synced, ...unsynced]),
    crash: (random) => {
      const bytes = Buffer.concat(unsynced);
      unsynced = [bytes.subarray(0, random.nextInteger(bytes.length + 1))];
      sync();
    },
    flipBit: (byte) => {
      const bytes = Buffer.concat(synced);
      bytes[byte] = bytes[byte]! ^ 1; // eslint-disable-line no-bitwise -- flips one bit
      synced = [bytes];
    },
    clear: () => {
      synced = [];
      unsynced = [];
    },
  };
};

const recoverFromDisk = (disk: VirtualDisk): StorageFact => {
  const bytes = disk.read();
  return decodeRecords(bytes)
    .andThen(({ values, validBytes }) => {
      disk.clear();
      disk.write(Buffer.from(bytes.subarray(0, validBytes)));
      disk.sync();
      return replayRecords(values);
    })
    .match<StorageFact>(
      (state) => ({ kind: 'recovered', state }),
      (failure) => ({ kind: 'failed', failure }),
    );
};

/** Creates the storage port of one daemon process over its disk. */
export const createVirtualStoragePort = (
  { daemon, schedule }: VirtualContext,
  disk: VirtualDisk,
  syncDelay: Milliseconds,
): VirtualPort => {
  const { storageRequests, storageFacts } = daemon.core.world;
  storageFacts.append(recoverFromDisk(disk));

  const completeSync = (sequence: number): void => {
    disk.sync();
    storageFacts.append({ kind: 'synced', sequence });
  };

  return {
    drain: () => {
      const requests = storageRequests.takeAll();
      if (requests.length === 0) return;
      if (disk.faults.isFull === true) {
        const failure = createStorageError(
          StorageErrorKind.DiskFull,
          'The disk is full; free space on it.',
        );
        schedule(syncDelay, () => storageFacts.append({ kind: 'failed', failure }));
        return;
      }
      requests.forEach(({ write }) => disk.write(encodeRecord(write)));
      const delay = syncDelay + (disk.faults.extraSyncDelay ?? 0);
      schedule(delay, () => completeSync(requests.at(-1)!.sequence));
    },
  };
};
