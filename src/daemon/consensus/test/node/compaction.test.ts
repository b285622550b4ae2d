/**
 * Guards against appends that wait for a replacement of the records that only frees space: a leader
 * whose entries are not acknowledged in time loses its leadership.
 */
import { copyFileSync, readdirSync } from 'node:fs';
import { open, rm } from 'node:fs/promises';
import { join } from 'node:path';
import test from 'ava';
import { delay } from '../../../../base/node/delay.js';
import type { StoragePortOptions } from '../../node/storagePort.js';
import {
  createFolder,
  createSmallDisk,
  entriesFrom,
  openPort,
  readState,
  replaceBy,
  stateAt,
  write,
} from './storagePortFixture.js';

test('appends that arrive while a slow disk writes an optional replacement are synced in order before it ends', async (t) => {
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
  for (let index = 5; index < 15; index += 1) port.request(write(index, index));
  await port.waitFor(() => port.syncedSequence() === replaced + 10);
  t.is(disk.baseCount, 0);
  // What a process that starts now finds: opening the folder itself would remove the unfinished base.
  const copy = createFolder(t);
  readdirSync(folder).forEach((name) => copyFileSync(join(folder, name), join(copy, name)));
  t.deepEqual((await readState(copy)).entries, entriesFrom(1, 14));
  serve();
  await port.dispose();
  t.is(disk.baseCount, 1);
  const sequences = port.facts.flatMap((fact) => (fact.kind === 'synced' ? [fact.sequence] : []));
  t.deepEqual(
    sequences,
    [...sequences].sort((first, second) => first - second),
  );
  t.deepEqual(await readState(folder), { ...replacement, entries: entriesFrom(4, 14) });
});

test('an append that finds the disk full while a replacement is written succeeds once the replacement has failed', async (t) => {
  const folder = createFolder(t);
  const { disk, options } = createSmallDisk();
  let serve = (): void => {};
  disk.isServing = new Promise((resolve) => {
    serve = resolve;
  });
  disk.isFull = true;
  let isSpaceTaken = true;
  const openFile: StoragePortOptions['openFile'] = async (path, flags) => {
    const handle = await (options.openFile ?? open)(path, flags);
    const { appendFile } = handle;
    return Object.assign(handle, {
      appendFile: async (bytes: Buffer) => {
        const isRefused = isSpaceTaken && path.endsWith('2.segment');
        if (isRefused) throw Object.assign(new Error('ENOSPC'), { code: 'ENOSPC' });
        await appendFile.call(handle, bytes);
      },
    });
  };
  const removeFile = async (path: string): Promise<void> => {
    if (path.endsWith('.unfinished')) isSpaceTaken = false;
    await rm(path, { force: true });
  };
  const port = await openPort(folder, { ...options, openFile, removeFile });
  const last = port.request(write(1, 4), replaceBy(stateAt(3, 4), true), write(5, 6));
  await delay(20);
  isSpaceTaken = true;
  serve();
  await port.waitFor(() => port.syncedSequence() === last);
  await port.dispose();
  t.false(port.facts.some(({ kind }) => kind === 'failed'));
  t.deepEqual((await readState(folder)).entries, entriesFrom(1, 6));
});
