/**
 * The storage port with writes that replace all records: the log goes on where one that only frees
 * space fails, and nothing counts as synced before one that it depends on.
 */
import { readdirSync } from 'node:fs';
import test from 'ava';
import {
  createFolder,
  createSmallDisk,
  entriesFrom,
  entryAt,
  openPort,
  readState,
  replaceBy,
  stateAt,
  write,
} from './storagePortFixture.js';

test('a disk without space for an optional replacement does not stop the log, and the next one frees space', async (t) => {
  const folder = createFolder(t);
  const { disk, options } = createSmallDisk();
  const port = await openPort(folder, { ...options, retriesWrites: true });
  disk.isFull = true;
  const last = port.request(write(1, 4), replaceBy(stateAt(3, 4), true), write(5, 6));
  await port.waitFor(() => port.syncedSequence() === last && port.errors.length > 0);
  t.false(port.facts.some(({ kind }) => kind === 'failed'));
  t.deepEqual(port.metricNames, ['consensus.failedReplacements']);
  t.is(port.errors.length, 1);
  t.regex(port.errors[0]!.message, /was not replaced by its snapshot.*Free disk space/);
  t.deepEqual(readdirSync(folder).sort(), ['log-00000001.segment', 'log-00000002.segment']);
  t.deepEqual((await readState(folder)).entries, entriesFrom(1, 6));
  disk.isFull = false;
  const next = port.request(replaceBy(stateAt(5, 6), true), write(7, 7));
  await port.waitFor(() => port.syncedSequence() === next);
  await port.dispose();
  t.deepEqual(readdirSync(folder).sort(), ['log-00000003.base', 'log-00000003.segment']);
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
