/**
 * Guards against contents that are reported as synced and are lost or changed after a restart.
 */
import { appendFileSync, mkdtempSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { StoredContent } from '../../../../service/jobs/common/contentTables.js';
import type { JobId } from '../../../../service/jobs/common/jobTables.js';
import type { ContentStore } from '../../common/contentStore.js';
import { computeContentDigest, openFileContentStore } from '../../node/fileContentStore.js';

const clock = (): number => Date.now();
const job = asBrand<JobId>('job|with|bars');
const bytesOf = (values: readonly number[]) => new Uint8Array(values);
const contentOf = (values: readonly number[]) => ({
  digest: computeContentDigest(bytesOf(values)),
  bytes: bytesOf(values),
});
const first = contentOf([0, 255, 10, 13]);
const second = contentOf([]);

const createFolder = (t: ExecutionContext): string => {
  const folder = mkdtempSync(join(tmpdir(), 'contents-'));
  t.teardown(() => rmSync(folder, { recursive: true }));
  return folder;
};

const write = (store: ContentStore, contents: readonly (typeof first)[]): Promise<boolean> =>
  new Promise((resolve) => {
    store.write(job, contents, resolve);
  });

const readAll = (store: ContentStore): Promise<readonly StoredContent[]> =>
  new Promise((resolve) => {
    store.readAll(resolve);
  });

const summaryOf = (contents: readonly StoredContent[]) =>
  contents.map((content) => [content.job, content.digest, [...content.bytes]]);

const contentFileIn = (folder: string): string => {
  const contentFolder = join(folder, 'contents');
  return join(contentFolder, readdirSync(contentFolder)[0]!);
};

test('contents are read after the store is reopened', async (t) => {
  const folder = createFolder(t);
  const store = openFileContentStore(folder, clock);
  t.true(await write(store, [first]));
  t.true(await write(store, [first, second]));
  await store.dispose();
  const reopened = openFileContentStore(folder, clock);
  t.deepEqual(summaryOf(await readAll(reopened)), [
    [job, first.digest, [0, 255, 10, 13]],
    [job, second.digest, []],
  ]);
  await reopened.dispose();
});

test('a torn record is left out, and contents are written after it', async (t) => {
  const folder = createFolder(t);
  const store = openFileContentStore(folder, clock);
  await write(store, [first]);
  await store.dispose();
  appendFileSync(contentFileIn(folder), '{"body":"job|with|bars|torn","che');
  const reopened = openFileContentStore(folder, clock);
  const contents = readAll(reopened);
  const written = write(reopened, [second]);
  t.is((await contents).length, 1);
  t.true(await written, 'a write that is requested while the contents are read is kept');
  await reopened.dispose();
  const third = openFileContentStore(folder, clock);
  t.is((await readAll(third)).length, 2);
  await third.dispose();
});

test('the contents of a removed job are gone after the store is reopened', async (t) => {
  const folder = createFolder(t);
  const store = openFileContentStore(folder, clock);
  await write(store, [first]);
  store.deleteJob(job);
  t.true(await write(store, [second]));
  await store.dispose();
  const reopened = openFileContentStore(folder, clock);
  t.deepEqual(
    (await readAll(reopened)).map(({ digest }) => digest),
    [second.digest],
  );
  await reopened.dispose();
});

test('a write that fails is reported as failed', async (t) => {
  const folder = createFolder(t);
  const store = openFileContentStore(folder, clock);
  t.deepEqual(await readAll(store), []);
  t.deepEqual(readdirSync(folder), [], 'no folder is created before there is a content');
  writeFileSync(join(folder, 'contents'), 'no folder');
  t.false(await write(store, [first]));
  await store.dispose();
});
