/**
 * A loss of power in the midst of an append. Of the writes since the last sync, each may be kept or
 * lost by itself, so a later one may be there without an earlier one. What was synced is read back
 * after it: a store that does not start any more is a lost disk that nobody counted.
 */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { open, type FileHandle } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { encodeRecord } from '../../node/recordCodec.js';
import { openSegmentStore, type OpenFile } from '../../node/segmentStore.js';

/** Bytes of the system calls into which the runtime divides an `appendFile` (counted on Node.js 20). */
const runtimeWriteBytes = 512 * 1024;

const recordText = 'x'.repeat(250_000);
const synced = ['first', 'second'];
/** As a store writes that joins: many records in one append. */
const unsynced = Array.from({ length: 6 }, (_, position) => `${position} ${recordText}`);

interface Write {
  readonly path: string;
  readonly offset: number;
  readonly bytes: number;
}

interface FailingDisk {
  readonly openFile: OpenFile;
  /** Power is lost before the next sync completes. */
  readonly losePower: () => void;
  /** Writes since the last sync, in order. */
  readonly unsyncedWrites: () => readonly Write[];
}

const createFailingDisk = (): FailingDisk => {
  let writes: Write[] = [];
  let hasPower = true;

  const recordWrite = async (path: string, handle: FileHandle, bytes: number): Promise<void> => {
    const { size } = await handle.stat();
    writes.push({ path, offset: size, bytes });
  };

  const divide = (bytes: Buffer): Buffer[] =>
    Array.from({ length: Math.ceil(bytes.length / runtimeWriteBytes) }, (_, position) =>
      bytes.subarray(position * runtimeWriteBytes, (position + 1) * runtimeWriteBytes),
    );

  const openFile: OpenFile = async (path, flags) => {
    const handle = await open(path, flags);
    const { appendFile, datasync, sync } = handle;
    const writeOnce = async (bytes: Buffer): Promise<void> => {
      await recordWrite(path, handle, bytes.length);
      await appendFile.call(handle, bytes);
    };
    const failWithoutPower = (complete: () => Promise<void>) => async () => {
      if (!hasPower) throw new Error('the power is lost');
      await complete.call(handle);
      writes = [];
    };
    return Object.assign(handle, {
      write: async (bytes: Buffer) => {
        await writeOnce(bytes);
        return { bytesWritten: bytes.length, buffer: bytes };
      },
      appendFile: async (bytes: Buffer) => {
        for (const part of divide(bytes)) await writeOnce(part);
      },
      datasync: failWithoutPower(datasync),
      sync: failWithoutPower(sync),
    });
  };

  return {
    openFile,
    losePower: () => {
      hasPower = false;
    },
    unsyncedWrites: () => writes,
  };
};

/** Loses one write: the file keeps its length where a later write was kept. */
const loseWrite = (writes: readonly Write[], lost: number): void => {
  const { path, offset, bytes } = writes[lost]!;
  const content = readFileSync(path);
  if (lost === writes.length - 1) writeFileSync(path, content.subarray(0, offset));
  else writeFileSync(path, content.fill(0, offset, offset + bytes));
};

const runLoss = async (
  lost: number,
): Promise<{ readonly count: number; readonly seen: string }> => {
  const folder = mkdtempSync(join(tmpdir(), 'shallotquay-storage-'));
  const disk = createFailingDisk();
  const options = { shouldLock: false, openFile: disk.openFile };
  const store = (await openSegmentStore(folder, options))._unsafeUnwrap();
  (await store.append(synced.map(encodeRecord)))._unsafeUnwrap();
  disk.losePower();
  await store.append(unsynced.map(encodeRecord));
  const writes = disk.unsyncedWrites();
  await store.dispose();
  if (lost < writes.length) loseWrite(writes, lost);
  const reopened = await openSegmentStore(folder, { shouldLock: false });
  const seen = await reopened.match(
    async ({ values, dispose }) => {
      await dispose();
      const expected = [...synced, ...unsynced].slice(0, values.length);
      const isPrefix = values.every((value, position) => value === expected[position]);
      return isPrefix && values.length >= synced.length ? 'read' : `${values.length} records`;
    },
    (error) => Promise.resolve(`${error.kind}: ${error.message}`),
  );
  return { count: writes.length, seen };
};

test('a log is read after a loss of power that lost any one write since the last sync', async (t) => {
  const { count } = await runLoss(Number.POSITIVE_INFINITY);
  t.true(count > 0);
  const results = await Promise.all(Array.from({ length: count }, (_, lost) => runLoss(lost)));
  t.deepEqual(
    results.map(({ seen }) => seen),
    results.map(() => 'read'),
  );
});
