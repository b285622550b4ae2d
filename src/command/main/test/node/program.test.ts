/** The program: exit codes and output streams. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { computeKeyDigest } from '../../../../service/configuration/node/keyDigest.js';
import { ExitCode } from '../../common/exitCode.js';
import { runProgram } from '../../node/program.js';

async function* encodeChunks(...chunks: string[]) {
  yield* chunks.map((chunk) => new TextEncoder().encode(chunk));
}

const run = async (argv: readonly string[], ...input: string[]) => {
  const written = { output: '', error: '' };
  const exitCode = await runProgram(argv, {
    standardInput: encodeChunks(...input),
    writeOutput: (text) => {
      written.output += text;
    },
    writeError: (text) => {
      written.error += text;
    },
  });
  return { exitCode, ...written };
};

test('check describes a valid installation in one line', async (t) => {
  const { exitCode, output, error } = await run(['check', 'examples/agency.toml']);
  t.is(exitCode, ExitCode.Success);
  t.is(error, '');
  t.is(output, 'agency is valid: 7 daemons in 3 zones, 2 services, 8 workspaces\n');
});

test('check prints each fault as path and message to standard error and exits with 2', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'settings-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const file = join(folder, 'yard.toml');
  await writeFile(file, 'name = "Yard"\ncolour = "red"\ntree = "absent.toml"\ndaemons = []\n');
  const { exitCode, output, error } = await run(['check', file]);
  t.is(exitCode, 2);
  t.is(output, '');
  ['name', 'colour', 'daemons', 'file'].forEach((path) =>
    t.regex(error, new RegExp(`^${path}: .+\\.$`, 'm')),
  );
});

const helpArguments = [
  ['--help'],
  ['check', '--help'],
  ['key', '--help'],
  ['key', 'digest', '--help'],
];

helpArguments.forEach((argv) =>
  test(`${argv.join(' ')} prints its usage and exits with 0`, async (t) => {
    const { exitCode, output } = await run(argv);
    t.is(exitCode, ExitCode.Success);
    t.regex(output, /^Usage: shallotquay/);
  }),
);

const invalidArguments = [[], ['chekc'], ['check'], ['check', 'one', 'two'], ['check', '--colour']];

invalidArguments.forEach((argv) =>
  test(`invalid arguments [${argv.join(' ')}] exit with 2`, async (t) => {
    const { exitCode, output, error } = await run(argv);
    t.is(exitCode, ExitCode.InvalidInput);
    t.is(output, '');
    t.not(error, '');
  }),
);

test('key digest reads a key from several chunks and removes the trailing newline', async (t) => {
  const { exitCode, output } = await run(['key', 'digest'], 'demo-', 'key', '\n');
  t.is(exitCode, ExitCode.Success);
  t.is(output, `key demo-key\ndigest ${computeKeyDigest('demo-key')}\n`);
});

test('key digest generates a different random key each time', async (t) => {
  const [first, second] = await Promise.all([1, 2].map(() => run(['key', 'digest', '--random'])));
  const [, key = '', digest] = /^key (\S+)\ndigest (\S+)\n$/.exec(first?.output ?? '') ?? [];
  t.is(digest, computeKeyDigest(key));
  t.not(first?.output, second?.output);
});

test('key digest rejects an empty key', async (t) => {
  t.is((await run(['key', 'digest'], '\n')).exitCode, ExitCode.InvalidInput);
});
