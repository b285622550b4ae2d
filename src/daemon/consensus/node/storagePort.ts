/**
 * The port between the replica and the files of the data folder. Writes that come while others are being
 * synced wait and go together with the next sync.
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

/** The port; `drain` is run after each tick. */
export interface StoragePort extends AsyncDisposable {
  readonly drain: () => void;
}

/** How a daemon uses its data folder. */
export interface StoragePortOptions extends SegmentStoreOptions {
  /** Whether a write that failed is tried again until it succeeds; else the replica takes no part. */
  readonly retriesWrites?: boolean;
}

/** Before a write that failed is tried again. */
const writeRetryMilliseconds = 500;

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

  /** Writes records, again after a while where a disk that is full or refuses writes is waited for. */
  const appendOrRetry = async (records: readonly Buffer[]): Promise<Result<void, StorageError>> => {
    let result = await store.append(records);
    while (result.isErr() && options.retriesWrites === true && !isDisposed) {
      onDidFail(result.error);
      // eslint-disable-next-line no-await-in-loop -- the disk is given time
      await delay(writeRetryMilliseconds);
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      result = await store.append(records);
    }
    return result;
  };

  const writePending = async (): Promise<void> => {
    while (pendingRequests.length > 0 && !hasFailed) {
      const batch = pendingRequests;
      pendingRequests = [];
      // The next batch is whatever comes while this one is being synced.
      const records = batch.map(({ write }) => encodeRecord(write));
      // eslint-disable-next-line no-await-in-loop -- batches are synced one after the other
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

/** Opens the files of a voter and reports what they hold. */
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

/** The port of a daemon without durable state. */
export const noopStoragePort: StoragePort = { drain: () => {}, dispose: () => Promise.resolve() };
