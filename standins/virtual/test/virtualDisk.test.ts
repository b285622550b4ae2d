/**
 * Virtual disks whose bytes are replaced: a crash keeps the old bytes or the new ones and no mixture,
 * and a disk without space stops the log only where the replacement is required.
 */
import test from 'ava';
import { createRandom } from '../../../src/base/common/random.js';
import type { Milliseconds } from '../../../src/base/common/time.js';
import { replayRecords } from '../../../src/daemon/consensus/node/replayRecords.js';
import {
  decodeRecords,
  encodeRecord,
} from '../../../src/infrastructure/storage/node/recordCodec.js';
import {
  createRecords,
  type DurableState,
  type StorageWrite,
} from '../../../src/service/consensus/common/durableState.js';
import type { StorageFact } from '../../../src/service/consensus/common/replicaTables.js';
import { createFleetCore } from '../fleetCore.js';
import {
  createVirtualDisk,
  createVirtualStoragePort,
  type DiskFaults,
  type VirtualDisk,
} from '../virtualDisk.js';
import type { VirtualContext } from '../virtualInstallation.js';

const voteOf = (term: number): StorageWrite => ({ kind: 'vote', term, votedFor: null });

/** A state with a snapshot of its own, so that it differs from one that results from votes. */
const stateOf = (term: number): DurableState => ({
  term,
  votedFor: null,
  hasJoined: true,
  snapshot: {
    header: { index: term, term, votersIndex: 0, voters: [], leader: null },
    parts: [{ table: 'first', rows: [term] }],
  },
  entries: [],
});

const replaceBy = (term: number, isOptional: boolean): StorageWrite => ({
  kind: 'stateReplaced',
  state: stateOf(term),
  isOptional,
});

/** Starts a process over a disk; scheduled syncs wait until the test runs them. */
const startProcess = (disk: VirtualDisk) => {
  const { world } = createFleetCore();
  const scheduled: (() => void)[] = [];
  const schedule = (_: Milliseconds, action: () => void) => scheduled.push(action);
  const context = { daemon: { core: { world } }, schedule } as unknown as VirtualContext;
  const port = createVirtualStoragePort(context, disk, 1);
  world.storageFacts.takeAll();
  let sequence = 0;
  return {
    request: (...writes: readonly StorageWrite[]): void => {
      writes.forEach((write) => {
        sequence += 1;
        world.storageRequests.append({ sequence, write });
      });
      port.drain();
    },
    /** Runs what is scheduled, and returns what storage reports. */
    sync: (): readonly StorageFact[] => {
      scheduled.splice(0).forEach((action) => action());
      return world.storageFacts.takeAll();
    },
  };
};

const readState = (disk: VirtualDisk): DurableState =>
  decodeRecords(disk.read())
    .andThen(({ values }) => replayRecords(values))
    ._unsafeUnwrap();

const write = (disk: VirtualDisk, term: number): void => disk.write(encodeRecord(voteOf(term)));

const replace = (disk: VirtualDisk, term: number): void =>
  disk.replace(Buffer.concat([...createRecords(stateOf(term))].map(encodeRecord)));

/** The states after crashes of which each keeps another part of the unsynced bytes. */
const crashedStates = (prepare: (disk: VirtualDisk) => void): readonly DurableState[] =>
  Array.from({ length: 200 }, (_, seed) => {
    const disk = createVirtualDisk();
    prepare(disk);
    disk.crash(createRandom(seed));
    return readState(disk);
  });

test('a crash before the sync of a replacement keeps the old bytes, and nothing that was written after it', (t) => {
  const states = crashedStates((disk) => {
    write(disk, 1);
    disk.sync();
    write(disk, 2);
    replace(disk, 3);
    write(disk, 4);
  });
  t.deepEqual([...new Set(states.map(({ term }) => term))].sort(), [1, 2]);
  t.true(states.every(({ snapshot }) => snapshot === null));
});

test('a crash after the sync of a replacement does not bring old bytes back', (t) => {
  const states = crashedStates((disk) => {
    write(disk, 1);
    replace(disk, 3);
    disk.sync();
    write(disk, 4);
  });
  t.deepEqual([...new Set(states.map(({ term }) => term))].sort(), [3, 4]);
  t.true(states.every(({ snapshot }) => snapshot?.header.index === 3));
});

test('writes after a replacement follow it, also after several of them', (t) => {
  const disk = createVirtualDisk();
  const process = startProcess(disk);
  process.request(voteOf(1), replaceBy(2, true), voteOf(3), replaceBy(4, false), voteOf(5));
  process.sync();
  t.deepEqual(readState(disk), { ...stateOf(4), term: 5 });
});

const faultsWithoutSpace: Readonly<Record<string, DiskFaults>> = {
  'a full disk': { isFull: true },
  'a disk too small for old and new bytes': { isTooSmallToReplace: true },
};

Object.entries(faultsWithoutSpace).forEach(([name, faults]) => {
  test(`${name} does not stop the log for an optional replacement, and the next one succeeds`, (t) => {
    const disk = createVirtualDisk();
    const process = startProcess(disk);
    process.request(voteOf(1));
    process.sync();
    Object.assign(disk.faults, faults);
    process.request(replaceBy(1, true));
    t.deepEqual(process.sync(), [{ kind: 'synced', sequence: 2 }]);
    t.is(readState(disk).snapshot, null);
    Object.assign(disk.faults, { isFull: false, isTooSmallToReplace: false });
    process.request(voteOf(2), replaceBy(2, true));
    t.deepEqual(process.sync(), [{ kind: 'synced', sequence: 4 }]);
    t.deepEqual(readState(disk), stateOf(2));
  });

  test(`${name} does not let a required replacement, or what follows it, count as synced`, (t) => {
    const disk = createVirtualDisk();
    Object.assign(disk.faults, faults);
    const process = startProcess(disk);
    process.request(replaceBy(3, false), voteOf(4));
    t.deepEqual(
      process.sync().map(({ kind }) => kind),
      ['failed'],
    );
    t.is(readState(disk).term, 0);
  });
});

test('a disk too small for old and new bytes still takes the writes around an optional replacement', (t) => {
  const disk = createVirtualDisk();
  disk.faults.isTooSmallToReplace = true;
  const process = startProcess(disk);
  process.request(voteOf(1), replaceBy(1, true), voteOf(2));
  t.deepEqual(process.sync(), [{ kind: 'synced', sequence: 3 }]);
  t.is(readState(disk).term, 2);
});
