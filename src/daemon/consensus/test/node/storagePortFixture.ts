/**
 * A storage port over a real folder, with all that it reports, and a disk on which bases can be slow
 * or find no space.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { open, rename } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { delay } from '../../../../base/node/delay.js';
import type { StorageError } from '../../../../infrastructure/storage/common/storageError.js';
import type {
  DurableState,
  StorageWrite,
} from '../../../../service/consensus/common/durableState.js';
import type { LogEntry } from '../../../../service/consensus/common/logEntry.js';
import type { StorageFact } from '../../../../service/consensus/common/replicaTables.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { openStoragePort, type StoragePortOptions } from '../../node/storagePort.js';

export const entryAt = (index: number, term = 1): LogEntry => ({
  index,
  term,
  proposal: asBrand(`entry-${index}-${term}`),
  origin: 'd1',
  command: { kind: 'votersSet', voters: ['d1', `d${index}`] },
});

export const entriesFrom = (first: number, last: number, term = 1): LogEntry[] =>
  Array.from({ length: last - first + 1 }, (_, position) => entryAt(first + position, term));

export const write = (first: number, last: number, term = 1): StorageWrite => ({
  kind: 'entries',
  entries: entriesFrom(first, last, term),
});

/** A state with a snapshot of the entries up to an index, and the entries after it. */
export const stateAt = (
  index: number,
  last: number,
  rows: readonly unknown[] = [index],
): DurableState => ({
  term: 1,
  votedFor: 'd1',
  hasJoined: true,
  snapshot: {
    header: { index, term: 1, votersIndex: 0, voters: [], leader: 'd1' },
    parts: [
      { table: 'first', rows: [...rows] },
      { table: 'second', rows: [] },
    ],
  },
  entries: entriesFrom(index + 1, last),
});

export const replaceBy = (state: DurableState, isOptional: boolean): StorageWrite => ({
  kind: 'stateReplaced',
  state,
  isOptional,
});

/** An open port, with all that it reports. */
export const openPort = async (folder: string, options: Partial<StoragePortOptions> = {}) => {
  const metricNames: string[] = [];
  const core = createFleetCore().world;
  const world = {
    ...core,
    metrics: { ...core.metrics, count: (name: string) => metricNames.push(name) },
  };
  world.storageFacts.takeAll();
  const facts: StorageFact[] = [];
  const errors: StorageError[] = [];
  let sequence = 0;
  const collect = (): void => {
    facts.push(...world.storageFacts.takeAll());
  };
  const port = (
    await openStoragePort(world, folder, collect, (error) => errors.push(error), {
      shouldLock: false,
      ...options,
    })
  )._unsafeUnwrap();
  collect();
  const syncedSequence = (): number =>
    facts.reduce((last, fact) => (fact.kind === 'synced' ? fact.sequence : last), 0);
  return {
    facts,
    errors,
    metricNames,
    syncedSequence,
    recovered: (): DurableState => (facts[0] as { readonly state: DurableState }).state,
    /** Requests writes of one tick; returns the sequence number of the last one. */
    request: (...writes: readonly StorageWrite[]): number => {
      writes.forEach((one) => {
        sequence += 1;
        world.storageRequests.append({ sequence, write: one });
      });
      port.drain();
      return sequence;
    },
    waitFor: async (isDone: () => boolean): Promise<void> => {
      while (!isDone()) await delay(2);
    },
    dispose: port.dispose,
  };
};

export const readState = async (folder: string): Promise<DurableState> => {
  const port = await openPort(folder);
  await port.dispose();
  return port.recovered();
};

export const createFolder = (t: ExecutionContext): string => {
  const folder = mkdtempSync(join(tmpdir(), 'shallotquay-port-'));
  t.teardown(() => rmSync(folder, { recursive: true, force: true }));
  return folder;
};

/** A disk that has no space for a base while `isFull`, and counts those that were finished. */
export const createSmallDisk = () => {
  const disk = { isFull: false, isServing: Promise.resolve(), baseCount: 0 };
  const options: Partial<StoragePortOptions> = {
    openFile: async (path, flags) => {
      const handle = await open(path, flags);
      const { appendFile } = handle;
      return Object.assign(handle, {
        appendFile: async (bytes: Buffer) => {
          const isBase = path.endsWith('.unfinished');
          if (isBase) await disk.isServing;
          await appendFile.call(handle, bytes);
          if (isBase && disk.isFull) throw Object.assign(new Error('ENOSPC'), { code: 'ENOSPC' });
        },
      });
    },
    renameFile: async (from, to) => {
      disk.baseCount += 1;
      await rename(from, to);
    },
  };
  return { disk, options };
};
