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
  let synced: Buffer = Buffer.alloc(0);
  let unsynced: Buffer = Buffer.alloc(0);
  const faults: DiskFaults = {};
  return {
    faults,
    write: (bytes) => {
      unsynced = Buffer.concat([unsynced, bytes]);
    },
    sync: () => {
      synced = Buffer.concat([synced, unsynced]);
      unsynced = Buffer.alloc(0);
    },
    read: () => Buffer.concat([synced, unsynced]),
    crash: (random) => {
      const survivingBytes = unsynced.subarray(0, random.nextInteger(unsynced.length + 1));
      synced = Buffer.concat([synced, survivingBytes]);
      unsynced = Buffer.alloc(0);
    },
    flipBit: (byte) => {
      synced = Buffer.from(synced);
      synced[byte] = synced[byte]! ^ 1; // eslint-disable-line no-bitwise -- flips one bit
    },
    clear: () => {
      synced = Buffer.alloc(0);
      unsynced = Buffer.alloc(0);
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
