/**
 * Segment files: synced records are read back, torn writes are truncated, corruption and locks are
 * errors.
 */
import { mkdtempSync, readFileSync, rmSync, truncateSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { encodeRecord } from '../../node/recordCodec.js';
import { openSegmentStore } from '../../node/segmentStore.js';

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
