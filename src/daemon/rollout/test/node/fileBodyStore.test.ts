/**
 * Guards against bodies that are lost on restart, and against reads of records that a crash has
 * truncated or corrupted.
 */
import {
  appendFileSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { BodyId, LotId } from '../../../../service/world/common/identifiers.js';
import type { BodyStore } from '../../common/bodyStore.js';
import { openFileBodyStore } from '../../node/fileBodyStore.js';

const clock = (): number => Date.now();
const lot = asBrand<LotId>('lot-one-step-1');
const body = (name: string): BodyId => asBrand(`${lot}/${name}`);

const createFolder = (t: ExecutionContext): string => {
  const folder = mkdtempSync(join(tmpdir(), 'bodies-'));
  t.teardown(() => rmSync(folder, { recursive: true }));
  return folder;
};

const write = (store: BodyStore, names: readonly string[]): Promise<boolean> =>
  new Promise((resolve) => {
    const bodies = names.map((name) => ({ body: body(name), lot, content: `text\n of ${name}` }));
    store.write(bodies, (outcome) => resolve(outcome.isOk()));
  });

const read = (store: BodyStore, name: string): Promise<string | undefined> =>
  new Promise((resolve) => {
    store.read(lot, body(name), resolve);
  });

const firstFileIn = (folder: string): string => join(folder, readdirSync(folder)[0]!);

test('bodies can be read after the store is reopened', async (t) => {
  const folder = createFolder(t);
  const first = openFileBodyStore(folder, clock);
  t.true(await write(first, ['a', 'b']));
  t.true(await write(first, ['b', 'c']));
  await first.dispose();
  const second = openFileBodyStore(folder, clock);
  t.is(await read(second, 'a'), 'text\n of a');
  t.is(await read(second, 'c'), 'text\n of c');
  t.is(await read(second, 'd'), undefined);
  await second.dispose();
  t.is(
    readFileSync(firstFileIn(folder), 'utf8').trimEnd().split('\n').length,
    3,
    'b is stored once',
  );
});

test('a truncated record is discarded, and later writes are stored', async (t) => {
  const folder = createFolder(t);
  const first = openFileBodyStore(folder, clock);
  await write(first, ['a', 'b']);
  await first.dispose();
  appendFileSync(firstFileIn(folder), '{"body":"lot-one-step-1/c","checksum":"12');
  const second = openFileBodyStore(folder, clock);
  t.is(await read(second, 'b'), 'text\n of b');
  t.is(await read(second, 'c'), undefined);
  t.true(await write(second, ['c']));
  await second.dispose();
  const third = openFileBodyStore(folder, clock);
  t.is(await read(third, 'c'), 'text\n of c');
  await third.dispose();
});

test('a corrupted body is not returned', async (t) => {
  const folder = createFolder(t);
  const store = openFileBodyStore(folder, clock);
  await write(store, ['a']);
  const path = firstFileIn(folder);
  writeFileSync(path, readFileSync(path, 'utf8').replace('of a', 'of x'));
  t.is(await read(store, 'a'), undefined);
  await store.dispose();
});

test('a deleted lot has no bodies', async (t) => {
  const folder = createFolder(t);
  const store = openFileBodyStore(folder, clock);
  await write(store, ['a']);
  store.deleteLot(lot);
  t.is(await read(store, 'a'), undefined);
  await store.dispose();
});

test('a write to a missing folder fails with a typed error', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'bodies-'));
  const store = openFileBodyStore(folder, clock);
  rmSync(folder, { recursive: true });
  t.false(await write(store, ['a']));
});

test('opening the store deletes files older than any open lot', async (t) => {
  const folder = createFolder(t);
  const store = openFileBodyStore(folder, clock);
  await write(store, ['a']);
  await store.dispose();
  const dayLater = (): number => Date.now() + 25 * 60 * 60 * 1000;
  await openFileBodyStore(folder, clock).dispose();
  t.is(readdirSync(folder).length, 1);
  await openFileBodyStore(folder, dayLater).dispose();
  t.is(readdirSync(folder).length, 0);
});
