/** Segment files: what is synced comes back, torn ends are cut, damage and a second process are refused. */
import { mkdtempSync, readFileSync, rmSync, truncateSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { encodeRecord } from '../../node/recordCodec.js';
import { openSegmentStore } from '../../node/segmentStore.js';

const newFolder = (): string => mkdtempSync(join(tmpdir(), 'shallotquay-storage-'));
const segmentOf = (folder: string): string => join(folder, 'log-00000001.segment');

const write = async (folder: string, values: readonly unknown[]): Promise<void> => {
  const store = (await openSegmentStore(folder))._unsafeUnwrap();
  (await store.append(values.map(encodeRecord)))._unsafeUnwrap();
  await store.dispose();
};

const read = async (folder: string): Promise<readonly unknown[]> => {
  const store = (await openSegmentStore(folder))._unsafeUnwrap();
  await store.dispose();
  return store.values;
};

const errorOf = async (folder: string) => (await openSegmentStore(folder))._unsafeUnwrapErr();

test('records come back in order over several openings', async (t) => {
  const folder = newFolder();
  await write(folder, ['a', { b: 1 }]);
  await write(folder, ['c']);
  t.deepEqual(await read(folder), ['a', { b: 1 }, 'c']);
});

test('an end that is torn at any byte of the last record is cut, and writing goes on', async (t) => {
  const lastBytes = encodeRecord('last').length;
  for (let missing = 1; missing <= lastBytes; missing += 1) {
    const folder = newFolder();
    await write(folder, ['first', 'last']);
    truncateSync(segmentOf(folder), readFileSync(segmentOf(folder)).length - missing);
    await write(folder, ['next']);
    t.deepEqual(await read(folder), ['first', 'next']);
  }
});

test('an end of zeros is cut', async (t) => {
  const folder = newFolder();
  await write(folder, ['first']);
  writeFileSync(segmentOf(folder), Buffer.alloc(100), { flag: 'a' });
  t.deepEqual(await read(folder), ['first']);
});

test('a flipped bit anywhere is an error that names the remedy, also in the last record', async (t) => {
  const folder = newFolder();
  await write(folder, ['first', 'last']);
  const good = readFileSync(segmentOf(folder));
  for (let position = 0; position < good.length * 8; position += 1) {
    const bytes = Buffer.from(good);
    // eslint-disable-next-line no-bitwise -- flips one bit
    bytes[position >> 3] = bytes[position >> 3]! ^ (1 << (position & 7));
    writeFileSync(segmentOf(folder), bytes);
    const error = await errorOf(folder);
    t.is(error.kind, 'storageCorrupt', `bit ${position}`);
    t.regex(error.message, /Replace the disk/);
  }
});

test('a missing segment is an error', async (t) => {
  const folder = newFolder();
  await write(folder, ['first']);
  writeFileSync(join(folder, 'log-00000002.segment'), encodeRecord('second'));
  rmSync(segmentOf(folder));
  t.is((await errorOf(folder)).kind, 'storageSegmentMissing');
});

test('a folder in use is refused, and the lock of a process that has ended is taken over', async (t) => {
  const folder = newFolder();
  const store = (await openSegmentStore(folder))._unsafeUnwrap();
  t.is((await errorOf(folder)).kind, 'storageLocked');
  await store.dispose();
  writeFileSync(join(folder, 'lock'), '1 0 another-boot');
  t.deepEqual(await read(folder), []);
});
