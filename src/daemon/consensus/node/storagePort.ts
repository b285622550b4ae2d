/**
 * The port between the replica and the files of the data folder. Writes that come while others are being
 * synced wait and go together with the next sync.
 */
import { err, ok, type Result } from 'neverthrow';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
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

const createPort = (
  world: World,
  store: SegmentStore,
  wake: () => void,
  onDidFail: (error: StorageError) => void,
): StoragePort => {
  let waiting: StorageRequest[] = [];
  let writing: Promise<void> | undefined;
  let hasFailed = false;

  const fail = (failure: StorageError): void => {
    hasFailed = true;
    world.storageFacts.append({ kind: 'failed', failure });
    onDidFail(failure);
    wake();
  };

  const writeWaiting = async (): Promise<void> => {
    while (waiting.length > 0 && !hasFailed) {
      const batch = waiting;
      waiting = [];
      // The next batch is whatever comes while this one is being synced.
      // eslint-disable-next-line no-await-in-loop -- batches are synced one after the other
      const written = await store.append(batch.map(({ write }) => encodeRecord(write)));
      if (written.isErr()) {
        fail(written.error);
        return;
      }
      world.storageFacts.append({ kind: 'synced', sequence: batch.at(-1)!.sequence });
      wake();
    }
  };

  return {
    drain: () => {
      waiting.push(...world.storageRequests.takeAll());
      if (writing !== undefined || waiting.length === 0) return;
      writing = writeWaiting().finally(() => {
        writing = undefined;
      });
    },
    dispose: async () => {
      await writing;
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
  options?: SegmentStoreOptions,
): Promise<Result<StoragePort, StorageError>> => {
  const store = await openSegmentStore(folder, options);
  if (store.isErr()) return err(store.error);
  const state = replayRecords(store.value.values);
  if (state.isErr()) {
    await store.value.dispose();
    return err(state.error);
  }
  world.storageFacts.append({ kind: 'recovered', state: state.value });
  return ok(createPort(world, store.value, wake, onDidFail));
};

/** The port of a daemon without durable state. */
export const noStorage: StoragePort = { drain: () => {}, dispose: () => Promise.resolve() };
