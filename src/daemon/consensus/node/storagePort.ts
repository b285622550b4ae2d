/**
 * Port between the replica tables and the segment files in the data folder. It drains write
 * requests after each tick and carries them out in order. Records are appended in batches: requests
 * that arrive during a sync form the next batch. A complete state replaces all records; while one
 * that only frees space is written, records are appended.
 */
import { err, ok, type Result } from 'neverthrow';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { delay } from '../../../base/node/delay.js';
import type { StorageError } from '../../../infrastructure/storage/common/storageError.js';
import { encodeRecord } from '../../../infrastructure/storage/node/recordCodec.js';
import {
  openSegmentStore,
  type SegmentStore,
  type SegmentStoreOptions,
} from '../../../infrastructure/storage/node/segmentStore.js';
import {
  createRecords,
  type DurableState,
} from '../../../service/consensus/common/durableState.js';
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

const StepKind = {
  /** Appends the records up to the next replacement, or as many as one append takes. */
  Append: 'append',
  /** Replaces all records, and does not go on before. */
  Replace: 'replace',
  /** Starts to replace all records, in order to free space, if the disk permits it. */
  TryToReplace: 'tryToReplace',
  /** Leaves out a replacement that only frees space, as a later one frees more. */
  Skip: 'skip',
} as const;
type StepKind = ValueOf<typeof StepKind>;

const isReplacement = ({ write }: StorageRequest): boolean => write.kind === 'stateReplaced';

const selectStepKind = ([first, ...later]: readonly StorageRequest[]): StepKind => {
  const { write } = first!;
  if (write.kind !== 'stateReplaced') return StepKind.Append;
  if (!write.isOptional) return StepKind.Replace;
  return later.some(isReplacement) ? StepKind.Skip : StepKind.TryToReplace;
};

/** Encodes writes from the start of a list, up to the size of one append and at least one. */
const takeRecords = (requests: readonly StorageRequest[]): readonly Buffer[] => {
  const records: Buffer[] = [];
  let bytes = 0;
  for (const request of requests) {
    if (bytes >= maximumAppendBytes || isReplacement(request)) break;
    const record = encodeRecord(request.write);
    records.push(record);
    bytes += record.length;
  }
  return records;
};

/** Encodes the records of a state while they are written. */
function* encodeState(state: DurableState): Generator<Buffer, void, undefined> {
  for (const record of createRecords(state)) yield encodeRecord(record);
}

const encodeReplacement = ({ write }: StorageRequest): Iterable<Buffer> =>
  write.kind === 'stateReplaced' ? encodeState(write.state) : [];

const describeFailedReplacement = (error: StorageError): StorageError => ({
  ...error,
  message:
    'The log in the data folder was not replaced by its snapshot. It goes on with the old files, ' +
    `and the next snapshot is tried again. ${error.message}`,
});

/** The number of requests, from the first one on, that a step has carried out. */
type StepResult = Result<number, StorageError>;

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

  /** Carries out a write; with `retriesWrites`, retries while the disk is full or rejects it. */
  const writeOrRetry = async (
    write: () => PromiseLike<Result<void, StorageError>>,
  ): Promise<Result<void, StorageError>> => {
    let result = await write();
    while (result.isErr() && options.retriesWrites === true && !isDisposed) {
      onDidFail(result.error);
      // eslint-disable-next-line no-await-in-loop -- delay between retries
      await delay(writeRetryMilliseconds);
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      result = await write();
    }
    return result;
  };

  let isCompacting = false;

  /** The old records result in the same state, so a failure is recorded and the log goes on. */
  const handleCompactionEnd = (result: Result<void, StorageError>): void => {
    isCompacting = false;
    if (result.isOk()) return;
    world.metrics.count('consensus.failedReplacements');
    onDidFail(describeFailedReplacement(result.error));
  };

  /** Appends that waited for a slow replacement cost a leader its leadership (issue 41). */
  const tryToReplace = async (request: StorageRequest): Promise<void> => {
    if (isCompacting) {
      world.metrics.count('consensus.skippedReplacements');
      return;
    }
    isCompacting = true;
    const started = await store.compact(encodeReplacement(request), handleCompactionEnd);
    if (started.isErr()) handleCompactionEnd(started);
  };

  const steps: Readonly<
    Record<StepKind, (requests: readonly StorageRequest[]) => Promise<StepResult>>
  > = {
    append: async (requests) => {
      const records = takeRecords(requests);
      return (await writeOrRetry(() => store.append(records))).map(() => records.length);
    },
    replace: async ([request]) =>
      (await writeOrRetry(() => store.replace(encodeReplacement(request!)))).map(() => 1),
    tryToReplace: async ([request]) => {
      await tryToReplace(request!);
      return ok(1);
    },
    skip: () => Promise.resolve(ok(1)),
  };

  const writePending = async (): Promise<void> => {
    while (pendingRequests.length > 0 && !hasFailed) {
      // eslint-disable-next-line no-await-in-loop -- writes are synced in order
      const result = await steps[selectStepKind(pendingRequests)](pendingRequests);
      if (result.isErr()) {
        reportFailure(result.error);
        return;
      }
      const { sequence } = pendingRequests[result.value - 1]!;
      pendingRequests = pendingRequests.slice(result.value);
      world.storageFacts.append({ kind: 'synced', sequence });
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
