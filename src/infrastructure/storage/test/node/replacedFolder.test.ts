/**
 * Folders whose records were replaced: damage that no interrupted replacement causes is an error, and a
 * replacement neither holds all records in memory nor leaves files behind.
 */
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import { open } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { encodeRecord } from '../../node/recordCodec.js';
import { openSegmentStore, type OpenFile } from '../../node/segmentStore.js';

const createFolder = (): string => mkdtempSync(join(tmpdir(), 'shallotquay-replaced-'));
const baseIn = (folder: string): string => join(folder, 'log-00000002.base');
const segmentIn = (folder: string, number: number): string =>
  join(folder, `log-0000000${number}.segment`);

const openStore = async (folder: string, openFile: OpenFile = open) =>
  (await openSegmentStore(folder, { shouldLock: true, openFile }))._unsafeUnwrap();

const readRecords = async (folder: string): Promise<readonly unknown[]> => {
  const store = await openStore(folder);
  await store.dispose();
  return store.values;
};

const openError = async (folder: string) => (await openSegmentStore(folder))._unsafeUnwrapErr();

/** Creates a folder with a base of two records, and a segment with one. */
const createReplacedFolder = async (): Promise<string> => {
  const folder = createFolder();
  const store = await openStore(folder);
  (await store.append([encodeRecord('old')]))._unsafeUnwrap();
  (await store.replace(['a', 'b'].map(encodeRecord)))._unsafeUnwrap();
  (await store.append([encodeRecord('c')]))._unsafeUnwrap();
  await store.dispose();
  return folder;
};

test('old records do not come back after a replacement, and old files do not stay', async (t) => {
  const folder = await createReplacedFolder();
  t.deepEqual(readdirSync(folder).sort(), ['log-00000002.base', 'log-00000002.segment']);
  t.deepEqual(await readRecords(folder), ['a', 'b', 'c']);
});

test('a folder is read after several replacements and restarts, without older records', async (t) => {
  const folder = createFolder();
  for (let round = 0; round < 4; round += 1) {
    const store = await openStore(folder);
    (await store.append([encodeRecord(`before ${round}`)]))._unsafeUnwrap();
    (await store.replace([encodeRecord(`first ${round}`)]))._unsafeUnwrap();
    (await store.replace([encodeRecord(`second ${round}`)]))._unsafeUnwrap();
    (await store.append([encodeRecord(`after ${round}`)]))._unsafeUnwrap();
    await store.dispose();
    t.deepEqual(await readRecords(folder), [`second ${round}`, `after ${round}`]);
  }
});

test('a base cut at any byte, also between two records, is an error and not a smaller state', async (t) => {
  const folder = await createReplacedFolder();
  const bytes = readFileSync(baseIn(folder));
  for (let length = 0; length < bytes.length; length += 1) {
    writeFileSync(baseIn(folder), bytes);
    truncateSync(baseIn(folder), length);
    t.is((await openError(folder)).kind, 'storageCorrupt', `${length} bytes`);
  }
});

test('a base with a missing write, read as zeros, or with a flipped bit is an error', async (t) => {
  const folder = await createReplacedFolder();
  const bytes = readFileSync(baseIn(folder));
  for (let start = 0; start < bytes.length; start += 1) {
    writeFileSync(baseIn(folder), Buffer.from(bytes).fill(0, start));
    t.is((await openError(folder)).kind, 'storageCorrupt', `zeros from byte ${start}`);
    const flipped = Buffer.from(bytes);
    flipped[start] = flipped[start]! ^ 1; // eslint-disable-line no-bitwise -- flips one bit
    writeFileSync(baseIn(folder), flipped);
    t.is((await openError(folder)).kind, 'storageCorrupt', `bit of byte ${start}`);
  }
});

test('a missing segment after a base, or a missing base, is an error and not a shorter log', async (t) => {
  const withoutFirst = await createReplacedFolder();
  rmSync(segmentIn(withoutFirst, 2));
  t.is((await openError(withoutFirst)).kind, 'storageSegmentMissing');
  const withGap = await createReplacedFolder();
  writeFileSync(segmentIn(withGap, 4), encodeRecord('d'));
  t.is((await openError(withGap)).kind, 'storageSegmentMissing');
  const withoutBase = await createReplacedFolder();
  rmSync(baseIn(withoutBase));
  t.is((await openError(withoutBase)).kind, 'storageSegmentMissing');
});

test('a damaged base is an error also while the segments that it replaced are there', async (t) => {
  const folder = await createReplacedFolder();
  writeFileSync(segmentIn(folder, 1), encodeRecord('old'));
  truncateSync(baseIn(folder), 10);
  t.is((await openError(folder)).kind, 'storageCorrupt');
});

test('a segment that is cut inside a record is an error where a later one has records', async (t) => {
  const folder = await createReplacedFolder();
  truncateSync(segmentIn(folder, 2), readFileSync(segmentIn(folder, 2)).length - 1);
  writeFileSync(segmentIn(folder, 3), encodeRecord('d'));
  t.is((await openError(folder)).kind, 'storageCorrupt');
});

/** Opens files whose writes are counted, and refused once they exceed a number of bytes. */
const createCountingFiles = (maximumBytes: number) => {
  const sizes: number[] = [];
  const openFile: OpenFile = async (path, flags) => {
    const handle = await open(path, flags);
    const { appendFile } = handle;
    return Object.assign(handle, {
      appendFile: async (bytes: Buffer) => {
        if (bytes.length + sizes.reduce((sum, size) => sum + size, 0) > maximumBytes)
          throw Object.assign(new Error('ENOSPC'), { code: 'ENOSPC' });
        await appendFile.call(handle, bytes);
        sizes.push(bytes.length);
      },
    });
  };
  return { openFile, sizes };
};

const recordOfBytes = (bytes: number): Buffer => encodeRecord('x'.repeat(bytes));

test('a replacement holds no more than some MiB of its records, and ticks run between them', async (t) => {
  const folder = createFolder();
  const { openFile, sizes } = createCountingFiles(Number.POSITIVE_INFINITY);
  const store = await openStore(folder, openFile);
  let createdBytes = 0;
  let mostUnwrittenBytes = 0;
  let turns = 0;
  const timer = setInterval(() => {
    turns += 1;
  }, 0);
  const turnsAtRecords = new Set<number>();
  function* createMany() {
    for (let count = 0; count < 160; count += 1) {
      const record = recordOfBytes(256 * 1024);
      createdBytes += record.length;
      const writtenBytes = sizes.reduce((sum, size) => sum + size, 0);
      mostUnwrittenBytes = Math.max(mostUnwrittenBytes, createdBytes - writtenBytes);
      turnsAtRecords.add(turns);
      yield record;
    }
  }
  (await store.replace(createMany()))._unsafeUnwrap();
  clearInterval(timer);
  await store.dispose();
  t.true(mostUnwrittenBytes < 2 * 1024 * 1024, `${mostUnwrittenBytes} bytes`);
  t.true(Math.max(...sizes) < 2 * 1024 * 1024);
  t.true(turnsAtRecords.size > 1);
  t.is((await readRecords(folder)).length, 160);
});

test('a replacement for which the disk has no space leaves it, and the log goes on', async (t) => {
  const folder = createFolder();
  const { openFile } = createCountingFiles(3 * 1024 * 1024);
  const store = await openStore(folder, openFile);
  (await store.append([encodeRecord('a')]))._unsafeUnwrap();
  const large = Array.from({ length: 4 }, () => recordOfBytes(1024 * 1024));
  t.is((await store.replace(large))._unsafeUnwrapErr().kind, 'storageDiskFull');
  t.deepEqual(readdirSync(folder).sort(), ['lock', 'log-00000001.segment']);
  (await store.append([encodeRecord('b')]))._unsafeUnwrap();
  (await store.replace(['a', 'b'].map(encodeRecord)))._unsafeUnwrap();
  await store.dispose();
  t.deepEqual(await readRecords(folder), ['a', 'b']);
});

test('a replacement whose records cannot be encoded leaves the old ones', async (t) => {
  const folder = createFolder();
  const store = await openStore(folder);
  (await store.append([encodeRecord('a')]))._unsafeUnwrap();
  function* createFailing(): Generator<Buffer> {
    yield encodeRecord('b');
    throw new Error('not encodable');
  }
  t.is((await store.replace(createFailing()))._unsafeUnwrapErr().kind, 'storageFailed');
  await store.dispose();
  t.deepEqual(await readRecords(folder), ['a']);
});
