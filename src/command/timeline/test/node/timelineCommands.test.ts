/** The timeline and explain commands on event files. */
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { ExitCode } from '../../../main/common/exitCode.js';
import { runCommand as run } from '../../../main/test/node/runCommand.js';

const createEventLine = (wall: number, process: string, kind: string, subject: object): string =>
  `${JSON.stringify({ stamp: { wall, counter: 0 }, process, kind, subject })}\n`;

const createFolder = async (t: ExecutionContext): Promise<string> => {
  const folder = await mkdtemp(join(tmpdir(), 'timeline-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const refusal = { request: 'request-1', reason: 'unknownKey', notRun: true };
  await writeFile(
    join(folder, 'd1.events.jsonl'),
    createEventLine(2, 'd1', 'requestRefused', refusal),
  );
  await writeFile(
    join(folder, 'd2.events.jsonl'),
    createEventLine(1, 'd2', 'upstreamGone', { upstream: 'e1' }),
  );
  return folder;
};

test('timeline merges files and filters by kind', async (t) => {
  const folder = await createFolder(t);
  const unfiltered = await run(['timeline', folder]);
  t.regex(unfiltered.output, /upstreamGone[^]*requestRefused/);
  const filtered = await run(['timeline', folder, '--kind', 'upstreamGone']);
  t.is(filtered.output.trim().split('\n').length, 1);
});

test('timeline writes an HTML page', async (t) => {
  const folder = await createFolder(t);
  const file = join(folder, 'page.html');
  const { exitCode, output } = await run(['timeline', folder, '--html', file]);
  t.is(exitCode, ExitCode.Success);
  t.is(output, `${file} now contains 2 events\n`);
  t.regex(await readFile(file, 'utf8'), /^<!doctype html>/);
});

test('timeline reports an error if the page cannot be written', async (t) => {
  const folder = await createFolder(t);
  const { exitCode, error } = await run(['timeline', folder, '--html', join(folder, 'no', 'page')]);
  t.is(exitCode, ExitCode.Failure);
  t.regex(error, /specify a file in an existing folder/);
});

test('explain shows why a request was refused', async (t) => {
  const folder = await createFolder(t);
  const { exitCode, output } = await run(['explain', 'request-1', folder]);
  t.is(exitCode, ExitCode.Success);
  t.regex(output, /was refused on d1\.\nReason: unknownKey\. It did not run\./);
});

test('explain rejects an unknown identifier and an unreadable folder', async (t) => {
  const folder = await createFolder(t);
  t.is((await run(['explain', 'request-2', folder])).exitCode, ExitCode.InvalidInput);
  t.is((await run(['explain', 'request-1', join(folder, 'no')])).exitCode, ExitCode.InvalidInput);
});
