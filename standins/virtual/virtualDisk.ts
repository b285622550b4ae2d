/**
 * In-memory disks for the replicated log. Synced bytes survive a crash, and a random prefix of the
 * unsynced bytes does too. A replacement of all bytes takes effect at its sync as a whole. Bytes use
 * the production record format, so that torn writes and flipped bits run through the same checks.
 */
import type { Random } from '../../src/base/common/random.js';
import type { Milliseconds } from '../../src/base/common/time.js';
import { replayRecords } from '../../src/daemon/consensus/node/replayRecords.js';
import {
  createStorageError,
  StorageErrorKind,
} from '../../src/infrastructure/storage/common/storageError.js';
import { decodeRecords, encodeRecord } from '../../src/infrastructure/storage/node/recordCodec.js';
import { createRecords } from '../../src/service/consensus/common/durableState.js';
import type {
  StorageFact,
  StorageRequest,
} from '../../src/service/consensus/common/replicaTables.js';
import type { VirtualContext, VirtualPort } from './virtualInstallation.js';

/** Injected faults of a disk. */
export interface DiskFaults {
  /** Whether further writes fail. */
  isFull?: boolean;
  /**
   * Whether writes are refused now and repeated until there is room, as processes of the platform do;
   * later writes wait for them.
   */
  isFullForNow?: boolean;
  /** Whether old and new bytes do not fit at once, so that replacements fail and writes do not. */
  isTooSmallToReplace?: boolean;
  /** Milliseconds added to each sync. */
  extraSyncDelay?: Milliseconds;
  /**
   * Milliseconds that a replacement takes. As in the production port, later writes wait for a
   * required one, and are synced while an optional one is written.
   */
  replaceDelay?: Milliseconds;
}

/** The disk of one daemon. */
export interface VirtualDisk {
  readonly faults: DiskFaults;
  readonly write: (bytes: Buffer) => void;
  /** Replaces all bytes, also those written before, once it is synced. */
  readonly replace: (bytes: Buffer) => void;
  /**
   * Starts to replace the bytes written so far; returns the function that completes it. It has no
   * effect after a crash or after another replacement.
   */
  readonly startCompaction: (bytes: Buffer) => () => void;
  /** Makes all bytes written so far durable. */
  readonly sync: () => void;
  readonly read: () => Buffer;
  /**
   * Simulates a crash of the VM: only a random prefix of the unsynced bytes is kept, and nothing from
   * an unsynced replacement on.
   */
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
  /** The bytes of an unsynced replacement and those after it; undefined if there is none. */
  let replacement: Buffer[] | undefined;
  const faults: DiskFaults = {};
  const setSynced = (chunks: readonly Buffer[]): void => {
    synced = chunks;
    unsynced = [];
    replacement = undefined;
  };
  const allChunks = (): readonly Buffer[] => replacement ?? [...synced, ...unsynced];
  /** Increases whenever bytes are not only appended, which ends a compaction that is under way. */
  let generation = 0;
  return {
    faults,
    write: (bytes) => {
      (replacement ?? unsynced).push(bytes);
    },
    replace: (bytes) => {
      generation += 1;
      replacement = [bytes];
    },
    startCompaction: (bytes) => {
      const position = allChunks().length;
      const startedGeneration = generation;
      return () => {
        if (generation !== startedGeneration || replacement !== undefined) return;
        generation += 1;
        const chunks = allChunks();
        const syncedCount = synced.length;
        synced = [bytes, ...chunks.slice(position, syncedCount)];
        unsynced = chunks.slice(Math.max(position, syncedCount));
      };
    },
    sync: () => setSynced(allChunks()),
    read: () => Buffer.concat(allChunks()),
    crash: (random) => {
      generation += 1;
      const bytes = Buffer.concat(unsynced);
      setSynced([...synced, bytes.subarray(0, random.nextInteger(bytes.length + 1))]);
    },
    flipBit: (byte) => {
      const bytes = Buffer.concat(synced);
      bytes[byte] = bytes[byte]! ^ 1; // eslint-disable-line no-bitwise -- flips one bit
      synced = [bytes];
    },
    clear: () => {
      generation += 1;
      setSynced([]);
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

/** Whether the production port would go on with the old bytes instead of executing a write. */
const isLeftOut = (disk: VirtualDisk, { write }: StorageRequest): boolean => {
  const { isFull, isTooSmallToReplace } = disk.faults;
  const cannotReplace = isFull === true || isTooSmallToReplace === true;
  return write.kind === 'stateReplaced' && write.isOptional && cannotReplace;
};

const canExecute = (disk: VirtualDisk, { write }: StorageRequest): boolean => {
  const { isFull, isTooSmallToReplace } = disk.faults;
  return isFull !== true && (write.kind !== 'stateReplaced' || isTooSmallToReplace !== true);
};

/** Returns the encoded state of a replacement, or undefined for a write that only appends. */
const encodeReplacement = ({ write }: StorageRequest): Buffer | undefined =>
  write.kind === 'stateReplaced'
    ? Buffer.concat([...createRecords(write.state)].map(encodeRecord))
    : undefined;

const isOptionalReplacement = ({ write }: StorageRequest): boolean =>
  write.kind === 'stateReplaced' && write.isOptional;

/** Delay before refused writes are repeated, as in the production port. */
const writeRetryMilliseconds: Milliseconds = 500;

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

  /** Milliseconds of required replacements that are under way. */
  let replacing = 0;

  /** Executes a write; an optional replacement that takes time ends by itself. */
  const execute = (request: StorageRequest): void => {
    const replacement = encodeReplacement(request);
    const { replaceDelay = 0 } = disk.faults;
    if (replacement === undefined) disk.write(encodeRecord(request.write));
    else if (replaceDelay > 0 && isOptionalReplacement(request))
      schedule(replaceDelay, disk.startCompaction(replacement));
    else disk.replace(replacement);
  };

  /** Writes that were refused, and those that wait for them. */
  let refused: readonly StorageRequest[] = [];

  const carryOut = (requests: readonly StorageRequest[]): void => {
    const writes = requests.filter((request) => !isLeftOut(disk, request));
    if (!writes.every((request) => canExecute(disk, request))) {
      const failure = createStorageError(
        StorageErrorKind.DiskFull,
        'The disk is full; free space on it.',
      );
      schedule(syncDelay, () => storageFacts.append({ kind: 'failed', failure }));
      return;
    }
    writes.forEach(execute);
    const hasReplacement = writes.some(
      (request) => request.write.kind === 'stateReplaced' && !isOptionalReplacement(request),
    );
    const { extraSyncDelay = 0, replaceDelay = 0 } = disk.faults;
    if (hasReplacement && replaceDelay > 0) {
      replacing = replaceDelay;
      schedule(replaceDelay, () => {
        replacing = 0;
      });
    }
    const delay = syncDelay + extraSyncDelay + replacing;
    schedule(delay, () => completeSync(requests.at(-1)!.sequence));
  };

  const repeatRefused = (): void => {
    if (disk.faults.isFullForNow === true) {
      schedule(writeRetryMilliseconds, repeatRefused);
      return;
    }
    const requests = refused;
    refused = [];
    carryOut(requests);
  };

  return {
    drain: () => {
      const requests = storageRequests.takeAll();
      if (requests.length === 0) return;
      if (refused.length === 0 && disk.faults.isFullForNow !== true) {
        carryOut(requests);
        return;
      }
      if (refused.length === 0) schedule(writeRetryMilliseconds, repeatRefused);
      refused = [...refused, ...requests];
    },
  };
};
