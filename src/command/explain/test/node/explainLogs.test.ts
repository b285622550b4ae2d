/** The explain command on log files of several processes. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { gzipSync } from 'node:zlib';
import test, { type ExecutionContext } from 'ava';
import { ExitCode } from '../../../main/common/exitCode.js';
import { runCommand as run } from '../../../main/test/node/runCommand.js';

const createLogLine = (time: number, hostname: string, event: string, subject: object): string =>
  JSON.stringify({ level: 30, time, pid: 7, hostname, name: 'shallotquay', event, ...subject });

const request = { request: 'r1', service: 'app' };
const frontLines = [
  createLogLine(5_000, 'front-1', 'callAdmitted', { ...request, remainingMilliseconds: 900 }),
  createLogLine(5_200, 'front-1', 'callRefused', {
    ...request,
    refusal: 'noUpstream',
    tookMilliseconds: 200,
  }),
  createLogLine(4_500, 'front-1', 'registrationChanged', {
    upstream: 'w1',
    state: 'gone',
    service: 'app',
  }),
  createLogLine(4_400, 'front-1', 'registrationChanged', {
    upstream: 'x1',
    state: 'gone',
    service: 'other',
  }),
  createLogLine(4_600, 'front-1', 'daemonStarted', { node: 'front-1' }),
  createLogLine(4_700, 'front-2', 'daemonStarted', { node: 'front-2' }),
  'a line of another program',
];

const storeLines = [
  createLogLine(1_000, 'store-1', 'jobAccepted', { job: 'j', items: 2, minimumVersion: 1 }),
  createLogLine(1_500, 'store-1', 'runStarted', { item: 'j/a', upstream: 'e1', afterEvent: 0 }),
  createLogLine(2_500, 'store-1', 'runSilent', {
    item: 'j/a',
    upstream: 'e1',
    reason: 'no event in time',
  }),
  createLogLine(2_600, 'store-2', 'runStarted', { item: 'j/a', upstream: 'e2', afterEvent: 9 }),
  createLogLine(5_600, 'store-2', 'scoringStarted', { item: 'j/a', request: 'score-a' }),
  createLogLine(6_000, 'store-2', 'itemListed', {
    item: 'j/a',
    result: 'dead',
    cause: 'scoringFailed',
  }),
  createLogLine(7_000, 'store-2', 'jobEnded', { job: 'j' }),
];

/** Writes one file with unordered lines, and a compressed one with a prefix before each line. */
const createLogs = async (t: ExecutionContext): Promise<readonly string[]> => {
  const folder = await mkdtemp(join(tmpdir(), 'logs-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const [front, store] = [join(folder, 'front.log'), join(folder, 'store.log.gz')];
  await writeFile(front, frontLines.join('\n'));
  const collected = storeLines.map((line) => `   3.21 collector ${line}\n`).join('');
  await writeFile(store, gzipSync(collected));
  return [front, store];
};

test('explain shows a refused request with the upstream that departed before it', async (t) => {
  const { exitCode, output } = await run(['explain', 'r1', ...(await createLogs(t))]);
  t.is(exitCode, ExitCode.Success);
  t.regex(output, /r1 is a request\.\nIt was refused on front-1 after 200 ms: noUpstream/);
  t.regex(output, /No send to an upstream was recorded\./);
  const context = output.slice(0, output.indexOf('Log lines:'));
  t.regex(context, /registrationChanged.*w1/);
  t.notRegex(context, /x1/, 'an upstream of another service is not a cause');
  t.regex(context, /front-1 daemonStarted/);
  t.notRegex(context, /front-2/, 'upstream events of another process are not a cause');
});

test('explain shows the phases of an item and why it is dead', async (t) => {
  const { output } = await run(['explain', 'j/a', ...(await createLogs(t))]);
  t.regex(output, /listed as dead: its scoring request failed in all attempts/);
  t.regex(
    output,
    /Time by phase: 4\.00 s running on an engine, 0\.60 s waiting for an engine slot, 0\.40 s being scored/,
  );
  t.regex(output, /The leader changed during its runs: store-1, store-2\./);
  t.regex(output, /runSilent at e1: no event in time\./);
});

test('explain shows the last items of a job', async (t) => {
  const { output } = await run(['explain', 'j', ...(await createLogs(t))]);
  t.regex(output, /j is a job\.\nIt has 2 items; log lines of 1 listed items were found\./);
  t.regex(output, /Its client ended it after 6\.00 s\./);
  t.regex(output, /j\/a after 5\.00 s/);
});

test('explain shows the lines of an upstream', async (t) => {
  const { output } = await run(['explain', 'e2', ...(await createLogs(t))]);
  t.regex(output, /e2 is an upstream\.\nLog lines:\n.*runStarted/);
});

test('explain rejects an unknown identifier and a file that is not a log', async (t) => {
  const [front, store] = (await createLogs(t)) as [string, string];
  const unknown = await run(['explain', 'r2', front, store]);
  t.is(unknown.exitCode, ExitCode.InvalidInput);
  t.regex(unknown.error, /contains the identifier r2; check the identifier and the paths/);
  const damaged = `${store}-cut.gz`;
  await writeFile(damaged, 'not compressed');
  const unreadable = await run(['explain', 'r1', damaged]);
  t.is(unreadable.exitCode, ExitCode.InvalidInput);
  t.regex(unreadable.error, /check the path and the permissions, and that the file is complete/);
});

test('explain shows why a refused request met no configuration, on its own and on other daemons', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'logs-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const log = join(folder, 'all.log');
  const lines = [
    createLogLine(4_000, 'front-1', 'configurationMissing', {
      leaderAbsence: 'd1=self,d2=logBehind',
    }),
    createLogLine(4_100, 'front-2', 'configurationMissing', { leaderAbsence: 'none' }),
    createLogLine(4_200, 'store-1', 'leaderMissing', { voters: 'd1=self,d2=logBehind' }),
    createLogLine(4_300, 'store-2', 'notJoined', { holds: 186, of: 892 }),
    createLogLine(4_400, 'store-1', 'voterLagging', { voter: 'd2', holds: 186 }),
    createLogLine(5_000, 'front-1', 'callRefused', { refusal: 'notReady', ...request }),
  ];
  await writeFile(log, lines.join('\n'));
  const { output } = await run(['explain', 'r1', log]);
  const context = output.slice(0, output.indexOf('Log lines:'));
  t.regex(context, /front-1 configurationMissing leaderAbsence=d1=self,d2=logBehind/);
  t.regex(context, /store-1 leaderMissing voters=d1=self,d2=logBehind/);
  t.regex(context, /store-2 notJoined holds=186 of=892/);
  t.regex(context, /store-1 voterLagging voter=d2 holds=186/);
  t.notRegex(context, /front-2/, 'what another daemon lacks is not a cause');
});
