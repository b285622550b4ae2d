/**
 * Port between the replica tables and the segment files in the data folder. It drains write
 * requests after each tick and appends them in batches: requests that arrive during a sync form
 * the next batch.
 */
import { err, ok, type Result } from 'neverthrow';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import { delay } from '../../../base/node/delay.js';
import type { StorageError } from '../../../infrastructure/storage/common/storageError.js';
import { encodeRecord } from '../../../infrastructure/storage/node/recordCodec.js';
import {
  openSegmentStore,
  type SegmentStore,
  type SegmentStoreOptions,
} from '../../../infrastructure/storage/node/segmentStore.js';
import type { StorageRequest } from '../../../service/consensus/common/replicaTables.js';
import type { World } from '../../../service/world/common/world.js';
import { replayRecords } from './replayRecords.js';

/** Writes storage requests to disk; `drain` runs after each tick. */
export interface StoragePort extends AsyncDisposable {
  readonly drain: () => void;
}

/** Options for a data folder. */
export interface StoragePortOptions extends SegmentStoreOptions {
  /**
   * Whether a failed write is retried until it succeeds. Without retries, the replica stops
   * participating in consensus after the first failure.
   */
  readonly retriesWrites?: boolean;
}

/** Delay before a failed write is retried. */
const writeRetryMilliseconds = 500;

/** Maximum size of the records of one append, unless a single record exceeds it. */
const maximumAppendBytes = 4 * 1024 * 1024;

interface EncodedRequest {
  readonly sequence: number;
  readonly record: Buffer;
}

/** Encodes writes from the start of a list, up to the size of one append and at least one. */
const takeWrites = (requests: readonly StorageRequest[]): EncodedRequest[] => {
  const taken: EncodedRequest[] = [];
  let bytes = 0;
  for (const { sequence, write } of requests) {
    if (bytes >= maximumAppendBytes) break;
    const record = encodeRecord(write);
    taken.push({ sequence, record });
    bytes += record.length;
  }
  return taken;
};

const createPort = (
  world: World,
  store: SegmentStore,
  wake: () => void,
  onDidFail: (error: StorageError) => void,
  options: StoragePortOptions,
): StoragePort => {
  let pendingRequests: StorageRequest[] = [];
  let currentWrite: Promise<void> | undefined;
  let hasFailed = false;
  let isDisposed = false;

  const reportFailure = (failure: StorageError): void => {
    hasFailed = true;
    world.storageFacts.append({ kind: 'failed', failure });
    onDidFail(failure);
    wake();
  };

  /** Appends records; with `retriesWrites`, retries while the disk is full or rejects writes. */
  const appendOrRetry = async (records: readonly Buffer[]): Promise<Result<void, StorageError>> => {
    let result = await store.append(records);
    while (result.isErr() && options.retriesWrites === true && !isDisposed) {
      onDidFail(result.error);
      // eslint-disable-next-line no-await-in-loop -- delay between retries
      await delay(writeRetryMilliseconds);
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      result = await store.append(records);
    }
    return result;
  };

  const writePending = async (): Promise<void> => {
    while (pendingRequests.length > 0 && !hasFailed) {
      const batch = takeWrites(pendingRequests);
      pendingRequests = pendingRequests.slice(batch.length);
      const records = batch.map(({ record }) => record);
      // eslint-disable-next-line no-await-in-loop -- batches are synced sequentially
      const result = await appendOrRetry(records);
      if (result.isErr()) {
        reportFailure(result.error);
        return;
      }
      world.storageFacts.append({ kind: 'synced', sequence: batch.at(-1)!.sequence });
      wake();
    }
  };

  return {
    drain: () => {
      pendingRequests.push(...world.storageRequests.takeAll());
      if (currentWrite !== undefined || pendingRequests.length === 0) return;
      currentWrite = writePending().finally(() => {
        currentWrite = undefined;
      });
    },
    dispose: async () => {
      isDisposed = true;
      await currentWrite;
      await store.dispose();
    },
  };
};

/** Opens the data folder of a voter and appends the recovered state to `storageFacts`. */
export const openStoragePort = async (
  world: World,
  folder: string,
  wake: () => void,
  onDidFail: (error: StorageError) => void,
  options: StoragePortOptions = { shouldLock: true },
): Promise<Result<StoragePort, StorageError>> => {
  const store = await openSegmentStore(folder, options);
  if (store.isErr()) return err(store.error);
  const state = replayRecords(store.value.values);
  if (state.isErr()) {
    await store.value.dispose();
    return err(state.error);
  }
  world.storageFacts.append({ kind: 'recovered', state: state.value });
  return ok(createPort(world, store.value, wake, onDidFail, options));
};

/** Port of a daemon without a data folder: writes nothing. */
export const noopStoragePort: StoragePort = { drain: () => {}, dispose: () => Promise.resolve() };
