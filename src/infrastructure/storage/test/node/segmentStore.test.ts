/**
 * Segment files: synced records are read back, torn writes are truncated, corruption and locks are
 * errors.
 */
import { mkdtempSync, readFileSync, rmSync, truncateSync, writeFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { encodeRecord } from '../../node/recordCodec.js';
import { openSegmentStore, type OpenFile } from '../../node/segmentStore.js';

const createFolder = (): string => mkdtempSync(join(tmpdir(), 'shallotquay-storage-'));
const firstSegmentPath = (folder: string): string => join(folder, 'log-00000001.segment');

const writeRecords = async (folder: string, values: readonly unknown[]): Promise<void> => {
  const store = (await openSegmentStore(folder))._unsafeUnwrap();
  (await store.append(values.map(encodeRecord)))._unsafeUnwrap();
  await store.dispose();
};

const readRecords = async (folder: string): Promise<readonly unknown[]> => {
  const store = (await openSegmentStore(folder))._unsafeUnwrap();
  await store.dispose();
  return store.values;
};

const openError = async (folder: string) => (await openSegmentStore(folder))._unsafeUnwrapErr();

test('records are read back in order after the folder was opened several times', async (t) => {
  const folder = createFolder();
  await writeRecords(folder, ['a', { b: 1 }]);
  await writeRecords(folder, ['c']);
  t.deepEqual(await readRecords(folder), ['a', { b: 1 }, 'c']);
});

test('a write torn at any byte of the last record is truncated, and appending continues', async (t) => {
  const lastBytes = encodeRecord('last').length;
  for (let missing = 1; missing <= lastBytes; missing += 1) {
    const folder = createFolder();
    await writeRecords(folder, ['first', 'last']);
    truncateSync(firstSegmentPath(folder), readFileSync(firstSegmentPath(folder)).length - missing);
    await writeRecords(folder, ['next']);
    t.deepEqual(await readRecords(folder), ['first', 'next']);
  }
});

test('trailing zeros are truncated', async (t) => {
  const folder = createFolder();
  await writeRecords(folder, ['first']);
  writeFileSync(firstSegmentPath(folder), Buffer.alloc(100), { flag: 'a' });
  t.deepEqual(await readRecords(folder), ['first']);
});

test('a flipped bit in any record, including the last, is an error with a remedy', async (t) => {
  const folder = createFolder();
  await writeRecords(folder, ['first', 'last']);
  const validBytes = readFileSync(firstSegmentPath(folder));
  for (let position = 0; position < validBytes.length * 8; position += 1) {
    const bytes = Buffer.from(validBytes);
    // eslint-disable-next-line no-bitwise -- flips one bit
    bytes[position >> 3] = bytes[position >> 3]! ^ (1 << (position & 7));
    writeFileSync(firstSegmentPath(folder), bytes);
    const error = await openError(folder);
    t.is(error.kind, 'storageCorrupt', `bit ${position}`);
    t.regex(error.message, /Replace the disk/);
  }
});

test('a missing segment is an error', async (t) => {
  const folder = createFolder();
  await writeRecords(folder, ['first']);
  writeFileSync(join(folder, 'log-00000002.segment'), encodeRecord('second'));
  rmSync(firstSegmentPath(folder));
  t.is((await openError(folder)).kind, 'storageSegmentMissing');
});

test('opening a locked folder fails, and a stale lock is replaced', async (t) => {
  const folder = createFolder();
  const store = (await openSegmentStore(folder))._unsafeUnwrap();
  t.is((await openError(folder)).kind, 'storageLocked');
  await store.dispose();
  writeFileSync(join(folder, 'lock'), '1 0 another-boot');
  t.deepEqual(await readRecords(folder), []);
});

/** More than a segment, so that the next append starts a new one. */
const fullSegment = 'x'.repeat(9 * 1024 * 1024);

const createFullDiskError = (): Error =>
  Object.assign(new Error('ENOSPC: no space left on device'), { code: 'ENOSPC' });

/** What a full disk refuses. */
type RefusedCall = 'open' | 'sync' | 'appendFile';

/** Opens files of a disk that refuses one kind of call while `isFull` returns true. */
const createFullDisk =
  (refused: RefusedCall, isFull: () => boolean): OpenFile =>
  async (path, flags) => {
    if (refused === 'open' && isFull()) throw createFullDiskError();
    const handle = await open(path, flags);
    const { sync, appendFile } = handle;
    return Object.assign(handle, {
      sync: async () => {
        if (refused === 'sync' && isFull()) throw createFullDiskError();
        await sync.call(handle);
      },
      appendFile: async (bytes: Buffer) => {
        const isRefused = refused === 'appendFile' && isFull();
        await appendFile.call(handle, isRefused ? bytes.subarray(0, bytes.length / 2) : bytes);
        if (isRefused) throw createFullDiskError();
      },
    });
  };

const refusedCalls: readonly RefusedCall[] = ['open', 'sync', 'appendFile'];

refusedCalls.forEach((refused) =>
  test(`Acks: records are appended again after a full disk refused ${refused} (next segment)`, async (t) => {
    const folder = createFolder();
    let isFull = false;
    const openFile = createFullDisk(refused, () => isFull);
    const options = { shouldLock: true, openFile };
    const store = (await openSegmentStore(folder, options))._unsafeUnwrap();
    (await store.append([encodeRecord(fullSegment)]))._unsafeUnwrap();
    isFull = true;
    for (let attempt = 0; attempt < 3; attempt += 1) {
      t.is((await store.append([encodeRecord('a')]))._unsafeUnwrapErr().kind, 'storageDiskFull');
    }
    isFull = false;
    (await store.append([encodeRecord('a')]))._unsafeUnwrap();
    (await store.append([encodeRecord('b')]))._unsafeUnwrap();
    await store.dispose();
    t.deepEqual(await readRecords(folder), [fullSegment, 'a', 'b']);
  }),
);

test('records are appended again after a full disk cut a write within a segment', async (t) => {
  const folder = createFolder();
  let isFull = false;
  const openFile = createFullDisk('appendFile', () => isFull);
  const store = (await openSegmentStore(folder, { shouldLock: true, openFile }))._unsafeUnwrap();
  (await store.append([encodeRecord('a')]))._unsafeUnwrap();
  isFull = true;
  t.is((await store.append([encodeRecord('b')]))._unsafeUnwrapErr().kind, 'storageDiskFull');
  isFull = false;
  (await store.append([encodeRecord('b')]))._unsafeUnwrap();
  await store.dispose();
  t.deepEqual(await readRecords(folder), ['a', 'b']);
});

test('a folder is read after a restart while the next segment could not be synced', async (t) => {
  const folder = createFolder();
  let isFull = false;
  const openFile = createFullDisk('sync', () => isFull);
  const store = (await openSegmentStore(folder, { shouldLock: true, openFile }))._unsafeUnwrap();
  (await store.append([encodeRecord(fullSegment)]))._unsafeUnwrap();
  isFull = true;
  t.true((await store.append([encodeRecord('a')])).isErr());
  await store.dispose();
  await writeRecords(folder, ['a']);
  t.deepEqual(await readRecords(folder), [fullSegment, 'a']);
});
