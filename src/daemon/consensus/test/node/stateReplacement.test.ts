/**
 * The storage port with writes that replace all records: the log goes on where one that only frees
 * space fails, and nothing counts as synced before one that it depends on.
 */
import { mkdtempSync, readdirSync, rmSync } from 'node:fs';
import { open, rename } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
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

const entryAt = (index: number, term = 1): LogEntry => ({
  index,
  term,
  proposal: asBrand(`entry-${index}-${term}`),
  origin: 'd1',
  command: { kind: 'votersSet', voters: ['d1', `d${index}`] },
});

const entriesFrom = (first: number, last: number, term = 1): LogEntry[] =>
  Array.from({ length: last - first + 1 }, (_, position) => entryAt(first + position, term));

const write = (first: number, last: number, term = 1): StorageWrite => ({
  kind: 'entries',
  entries: entriesFrom(first, last, term),
});

/** A state with a snapshot of the entries up to an index, and the entries after it. */
const stateAt = (
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

const replaceBy = (state: DurableState, isOptional: boolean): StorageWrite => ({
  kind: 'stateReplaced',
  state,
  isOptional,
});

/** An open port, with all that it reports. */
const openPort = async (folder: string, options: Partial<StoragePortOptions> = {}) => {
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

const readState = async (folder: string): Promise<DurableState> => {
  const port = await openPort(folder);
  await port.dispose();
  return port.recovered();
};

const createFolder = (t: ExecutionContext): string => {
  const folder = mkdtempSync(join(tmpdir(), 'shallotquay-port-'));
  t.teardown(() => rmSync(folder, { recursive: true, force: true }));
  return folder;
};

/** A disk that has no space for a base while `isFull`, and counts those that were finished. */
const createSmallDisk = () => {
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

test('a disk without space for an optional replacement does not stop the log, and the next one frees space', async (t) => {
  const folder = createFolder(t);
  const { disk, options } = createSmallDisk();
  const port = await openPort(folder, { ...options, retriesWrites: true });
  disk.isFull = true;
  const last = port.request(write(1, 4), replaceBy(stateAt(3, 4), true), write(5, 6));
  await port.waitFor(() => port.syncedSequence() === last);
  t.false(port.facts.some(({ kind }) => kind === 'failed'));
  t.deepEqual(port.metricNames, ['consensus.failedReplacements']);
  t.is(port.errors.length, 1);
  t.regex(port.errors[0]!.message, /was not replaced by its snapshot.*Free disk space/);
  t.deepEqual(readdirSync(folder), ['log-00000001.segment']);
  t.deepEqual((await readState(folder)).entries, entriesFrom(1, 6));
  disk.isFull = false;
  const next = port.request(replaceBy(stateAt(5, 6), true), write(7, 7));
  await port.waitFor(() => port.syncedSequence() === next);
  await port.dispose();
  t.deepEqual(readdirSync(folder).sort(), ['log-00000002.base', 'log-00000002.segment']);
  t.deepEqual(await readState(folder), stateAt(5, 7));
});

test('an optional replacement that fails does not stop a port without retries', async (t) => {
  const folder = createFolder(t);
  const { disk, options } = createSmallDisk();
  const port = await openPort(folder, options);
  disk.isFull = true;
  const last = port.request(write(1, 4), replaceBy(stateAt(3, 4), true), write(5, 6));
  await port.waitFor(() => port.syncedSequence() === last);
  await port.dispose();
  t.false(port.facts.some(({ kind }) => kind === 'failed'));
  t.deepEqual((await readState(folder)).entries, entriesFrom(1, 6));
});

test('nothing counts as synced before a required replacement, which succeeds once space is free', async (t) => {
  const folder = createFolder(t);
  const { disk, options } = createSmallDisk();
  const port = await openPort(folder, { ...options, retriesWrites: true });
  disk.isFull = true;
  const before = port.request(write(1, 2));
  const last = port.request(replaceBy(stateAt(8, 8), false), write(9, 9));
  await port.waitFor(() => port.errors.length === 2);
  t.is(port.syncedSequence(), before);
  t.deepEqual((await readState(folder)).entries, entriesFrom(1, 2));
  disk.isFull = false;
  await port.waitFor(() => port.syncedSequence() === last);
  await port.dispose();
  t.deepEqual(await readState(folder), stateAt(8, 9));
});

test('a required replacement that fails without retries is a failure, and nothing after it is synced', async (t) => {
  const folder = createFolder(t);
  const { disk, options } = createSmallDisk();
  const port = await openPort(folder, options);
  disk.isFull = true;
  port.request(replaceBy(stateAt(8, 8), false), write(9, 9));
  await port.waitFor(() => port.facts.at(-1)?.kind === 'failed');
  await port.dispose();
  t.is(port.syncedSequence(), 0);
  t.deepEqual((await readState(folder)).entries, []);
});

test('appends that arrive while a slow disk replaces the records are synced in order after it', async (t) => {
  const folder = createFolder(t);
  const { disk, options } = createSmallDisk();
  let serve = (): void => {};
  disk.isServing = new Promise((resolve) => {
    serve = resolve;
  });
  const port = await openPort(folder, options);
  const large = Array.from({ length: 40 }, () => 'x'.repeat(100 * 1024));
  const parts = large.map((row) => ({ table: 'first', rows: [row] }));
  const state = stateAt(3, 4);
  const replacement = { ...state, snapshot: { ...state.snapshot!, parts } };
  port.request(write(1, 4));
  const replaced = port.request(replaceBy(replacement, true));
  await port.waitFor(() => port.syncedSequence() === replaced - 1);
  for (let index = 5; index < 15; index += 1) port.request(write(index, index));
  await delay(20);
  t.is(port.syncedSequence(), replaced - 1);
  serve();
  await port.waitFor(() => port.syncedSequence() === replaced + 10);
  await port.dispose();
  const sequences = port.facts.flatMap((fact) => (fact.kind === 'synced' ? [fact.sequence] : []));
  t.deepEqual(
    sequences,
    [...sequences].sort((first, second) => first - second),
  );
  t.true(sequences.includes(replaced));
  t.deepEqual(await readState(folder), { ...replacement, entries: entriesFrom(4, 14) });
});

test('only the newest of several queued optional replacements takes the time of the disk', async (t) => {
  const folder = createFolder(t);
  const { disk, options } = createSmallDisk();
  const port = await openPort(folder, options);
  const last = port.request(
    write(1, 4),
    replaceBy(stateAt(2, 4), true),
    replaceBy(stateAt(3, 4), true),
    write(5, 5),
    replaceBy(stateAt(4, 5), true),
  );
  await port.waitFor(() => port.syncedSequence() === last);
  await port.dispose();
  t.is(disk.baseCount, 1);
  t.deepEqual(await readState(folder), stateAt(4, 5));
});

test('a required replacement is written although an optional one is queued after it', async (t) => {
  const folder = createFolder(t);
  const { disk, options } = createSmallDisk();
  const port = await openPort(folder, options);
  const last = port.request(replaceBy(stateAt(8, 8), false), replaceBy(stateAt(8, 8), true));
  await port.waitFor(() => port.syncedSequence() === last);
  await port.dispose();
  t.is(disk.baseCount, 2);
  t.deepEqual(await readState(folder), stateAt(8, 8));
});

test('an older log, several replacements and restarts result in the last snapshot and the entries after it', async (t) => {
  const folder = createFolder(t);
  const older = await openPort(folder);
  older.request({ kind: 'vote', term: 1, votedFor: 'd1' }, { kind: 'joined' }, write(1, 3));
  await older.dispose();
  for (let index = 4; index < 8; index += 1) {
    const port = await openPort(folder);
    port.request(write(index, index), replaceBy(stateAt(index - 1, index), true));
    await port.dispose();
    t.deepEqual(port.errors, []);
    t.deepEqual(await readState(folder), stateAt(index - 1, index));
  }
});

test('entries that overwrite the end of the log after a snapshot replace exactly that end', async (t) => {
  const folder = createFolder(t);
  const port = await openPort(folder);
  port.request(write(1, 6), replaceBy(stateAt(3, 6), true), write(5, 5, 2), write(6, 7, 2));
  await port.dispose();
  t.deepEqual(await readState(folder), {
    ...stateAt(3, 4),
    entries: [entryAt(4), ...entriesFrom(5, 7, 2)],
  });
});

test('a state without a snapshot replaces the records, and is not added to them', async (t) => {
  const folder = createFolder(t);
  const port = await openPort(folder);
  const state = { ...stateAt(1, 1), snapshot: null, entries: entriesFrom(1, 2) };
  port.request(write(1, 6), replaceBy(state, false));
  await port.dispose();
  t.deepEqual(await readState(folder), state);
});
