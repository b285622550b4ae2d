/**
 * Loading of installations: the examples are valid, and every invalid file is rejected with a
 * reason.
 */
import { createHash } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import test from 'ava';
import fc from 'fast-check';
import type { Result } from 'neverthrow';
import { checkDeployment } from '../../../../infrastructure/settings/common/checkDeployment.js';
import { parseToml } from '../../../../infrastructure/settings/common/parseToml.js';
import type { SettingsFault } from '../../../../infrastructure/settings/common/settingsFault.js';
import {
  readDocument,
  readSettings,
} from '../../../../infrastructure/settings/node/readSettings.js';
import { checkTree } from '../../common/checkTree.js';
import { loadInstallation } from '../../node/loadInstallation.js';

const examples = ['kestrelkloof', 'agency'];
const exampleFile = (name: string): string => resolve('examples', name);

examples.forEach((name) =>
  test(`the example ${name} loads, with a key for each of its eight workspaces`, (t) => {
    const { deployment, tree, folder } = loadInstallation(
      exampleFile(`${name}.toml`),
    )._unsafeUnwrap();
    t.is(folder, resolve('examples'));
    t.is(deployment.daemons.length, 7);
    const workspaces = Object.entries(tree.workspaces);
    t.is(workspaces.length, 8);
    workspaces.forEach(([workspace, { keys }]) => {
      const expected = createHash('sha256').update(`demo-key-${workspace}`).digest('hex');
      t.deepEqual(
        Object.values(keys).map(({ digest }) => digest),
        [expected],
      );
    });
  }),
);

test('one error lists the faults of a deployment and of its settings tree', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'settings-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const file = join(folder, 'yard.toml');
  await writeFile(file, 'name = "yard"\ntree = "yard.tree.toml"\n');
  await writeFile(join(folder, 'yard.tree.toml'), 'services = {}\n');
  const { files, message } = loadInstallation(file)._unsafeUnwrapErr();
  t.deepEqual(
    files.flatMap(({ faults }) => faults.map(({ kind, path }) => `${kind} ${path}`)),
    ['missing daemons', 'missing workspaces'],
  );
  t.regex(message, /^daemons: .*add a list/m);
});

test('an absent file and a folder are reported as different faults', (t) => {
  const faultOf = (file: string) => readSettings(file)._unsafeUnwrapErr().files[0]?.faults[0];
  t.is(faultOf(exampleFile('absent.toml'))?.kind, 'fileNotFound');
  t.is(faultOf(resolve('examples'))?.kind, 'fileUnreadable');
});

type Path = readonly (string | number)[];

const isContainer = (value: unknown): value is object =>
  typeof value === 'object' && value !== null;

const listPaths = (value: unknown, path: Path = []): readonly Path[] => {
  if (!isContainer(value)) return [path];
  const keys = Array.isArray(value) ? [...value.keys()] : Object.keys(value);
  return [path, ...keys.flatMap((key) => listPaths(Reflect.get(value, key), [...path, key]))];
};

/** Returns a copy of the document with the value at a path replaced; `undefined` means absent. */
const replaceAt = (value: unknown, path: Path, replacement: unknown): unknown => {
  const [key, ...rest] = path;
  if (key === undefined || !isContainer(value)) return replacement;
  const changed = Array.isArray(value) ? [...value] : { ...value };
  Reflect.set(changed, key, replaceAt(Reflect.get(value, key), rest, replacement));
  return changed;
};

type Check = (document: unknown) => Result<unknown, readonly SettingsFault[]>;

const isExplained = (result: Result<unknown, readonly SettingsFault[]>): boolean =>
  result.match(
    () => true,
    (faults) => faults.length > 0 && faults.every(({ path, message }) => path && message),
  );

const checkMutations = (file: string, check: Check): { accepted: number; refused: number } => {
  const document = readDocument(exampleFile(file))._unsafeUnwrap();
  const counts = { accepted: 0, refused: 0 };
  const mutation = fc.tuple(fc.constantFrom(...listPaths(document)), fc.anything());
  const mutations = fc.array(mutation, { minLength: 1, maxLength: 4 });
  const property = fc.property(mutations, (list) => {
    const mutated = list.reduce<unknown>(
      (one, [path, value]) => replaceAt(one, path, value),
      document,
    );
    const result = check(mutated);
    counts[result.isOk() ? 'accepted' : 'refused'] += 1;
    return isExplained(result);
  });
  fc.assert(property, { seed: 20_261_204, numRuns: 1_000 });
  return counts;
};

test('mutations of a valid deployment never throw, and each rejection has a message', (t) => {
  t.true(checkMutations('kestrelkloof.toml', checkDeployment).refused > 0);
});

test('mutations of a valid tree never throw, and each rejection has a message', (t) => {
  t.true(checkMutations('kestrelkloof.tree.toml', checkTree).refused > 0);
});

test('mutations of the text of a valid file never throw, and each error has a position', (t) => {
  const text = 'name = "yard"\n[timing]\nheartbeatMilliseconds = 1_000\n[[daemons]]\nname = "a"\n';
  const position = fc.nat({ max: text.length });
  const property = fc.property(position, fc.string({ unit: 'binary' }), (at, inserted) => {
    const parsed = parseToml(text.slice(0, at) + inserted + text.slice(at));
    return parsed.isOk() || (parsed.error.line >= 1 && parsed.error.column >= 1);
  });
  t.notThrows(() => fc.assert(property, { seed: 20_261_204, numRuns: 1_000 }));
});
