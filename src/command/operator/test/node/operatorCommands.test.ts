/** Operator commands against a single-daemon installation, with real sockets and files. */
import { mkdtemp, readdir, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Readable } from 'node:stream';
import test, { type ExecutionContext } from 'ava';
import { pino } from 'pino';
import { request } from 'undici';
import { startEngine } from '../../../../../standins/index.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import { openDaemon, type Daemon } from '../../../../daemon/main/node/daemon.js';
import { hasFreshSettings } from '../../../../service/configuration/common/keyChecks.js';
import { monotonicClock } from '../../../../base/node/monotonicClock.js';
import { settingsOf } from '../../../../service/configuration/common/settingsTables.js';
import { ExitCode } from '../../../main/common/exitCode.js';
import { runProgram } from '../../../main/node/program.js';

const operatorKey = 'operator-key';
const callerKey = 'key-one';

const waitForPoll = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, 5);
  });

const waitUntil = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await waitForPoll();
};

/** Reads all files below a folder as text. */
const readAllFiles = async (folder: string): Promise<string> => {
  const names = await readdir(folder, { recursive: true, withFileTypes: true });
  const files = names.filter((entry) => entry.isFile());
  const texts = await Promise.all(
    files.map((entry) => readFile(join(entry.parentPath, entry.name), 'latin1')),
  );
  return texts.join('\n');
};

const openTestLeader = async (t: ExecutionContext) => {
  const folder = await mkdtemp(join(tmpdir(), 'operator-'));
  const lines: string[] = [];
  const log = pino({ level: 'trace' }, { write: (line: string) => lines.push(line) });
  const deployment = createTestDeployment(1, 1);
  const anyPort = '127.0.0.1:0';
  const daemons = deployment.daemons.map((daemon) => ({
    ...daemon,
    callerAddress: anyPort,
    peerAddress: anyPort,
  }));
  const opened = await openDaemon({
    deployment: { ...deployment, daemons, eventFolder: 'events' },
    tree: createTestTree(),
    folder,
    name: 'd1',
    log,
  });
  const daemon = opened._unsafeUnwrap();
  t.teardown(() => rm(folder, { recursive: true }));
  t.teardown(daemon.dispose);
  const { world } = daemon;
  await waitUntil(() => hasFreshSettings(world, monotonicClock()) && settingsOf(world).isAgreed);
  return { daemon, folder, lines };
};

const runOperatorCommand = async (daemon: Daemon, ...argv: string[]) => {
  const written = { output: '', error: '' };
  process.env.SHALLOTQUAY_OPERATOR_KEY = operatorKey;
  const exitCode = await runProgram([...argv, '--entry', daemon.callerAddress], {
    standardInput: Readable.from([]),
    writeOutput: (text) => {
      written.output += text;
    },
    writeError: (text) => {
      written.error += text;
    },
  });
  return { exitCode, ...written };
};

const sendChatRequest = async (daemon: Daemon, key: string) => {
  const answer = await request(`http://${daemon.callerAddress}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'model', messages: [], max_tokens: 2 }),
  });
  return { status: answer.statusCode, text: await answer.body.text() };
};

test('an operator edits the tree, reads it, and sees the level and author of values', async (t) => {
  const { daemon } = await openTestLeader(t);
  const weight = 'workspaces.one.policy.weight';
  const accepted = await runOperatorCommand(daemon, 'tree', 'set', weight, '4', '--revision', '1');
  t.deepEqual(accepted, {
    exitCode: ExitCode.Success,
    output: 'accepted as revision 2\n',
    error: '',
  });
  t.is((await runOperatorCommand(daemon, 'tree', 'get', weight)).output, 'revision 2\n4\n');
  const explained = await runOperatorCommand(
    daemon,
    'tree',
    'explain',
    weight,
    '--service',
    'model',
  );
  t.is(
    explained.output,
    `  default: 1\n  policy.weight: not set\n` +
      `  services.model.policy.weight: not set\n* ${weight}: 4\n`,
  );
  t.is((await runOperatorCommand(daemon, 'tree', 'history')).output, `2 chief ${weight} 4\n`);
  const conflicting = await runOperatorCommand(
    daemon,
    'tree',
    'set',
    weight,
    '5',
    '--revision',
    '1',
  );
  t.is(conflicting.exitCode, ExitCode.InvalidInput);
  t.regex(conflicting.error, /^revisionMismatch: .*read the tree again/);
  const invalid = await runOperatorCommand(
    daemon,
    ...['tree', 'set', 'workspaces.one.services', '["absent"]', '--revision', '2'],
  );
  t.is(invalid.exitCode, ExitCode.InvalidInput);
  t.regex(invalid.error, /^invalidTree: workspaces\.one\.services\[0\]: /);
});

test('member list and status show the leader, the revision and degradations', async (t) => {
  const { daemon } = await openTestLeader(t);
  t.is(
    (await runOperatorCommand(daemon, 'member', 'list')).output,
    'd1 z1 alive revision 1 fresh load 0\n',
  );
  const { output } = await runOperatorCommand(daemon, 'status');
  t.regex(output, /^responding daemon d1\nleader d1 in term \d+\nrevision 1, fresh\n/);
  t.regex(output, /no degraded components\n$/);
});

test('requests without an operator key are rejected', async (t) => {
  const { daemon } = await openTestLeader(t);
  const statuses = await Promise.all(
    [callerKey, 'wrong'].map(async (key) => {
      const answer = await request(`http://${daemon.callerAddress}/operator/v1/tree`, {
        headers: { authorization: `Bearer ${key}` },
      });
      await answer.body.dump();
      return answer.statusCode;
    }),
  );
  t.deepEqual(statuses, [401, 401]);
});

test('an unreachable entry is an error with a remedy', async (t) => {
  const { exitCode, error } = await runOperatorCommand(
    { callerAddress: '127.0.0.1:1' } as Daemon,
    'status',
  );
  t.is(exitCode, ExitCode.Failure);
  t.regex(error, /does not respond; check that it is running/);
});

test('a key is valid from issue to withdrawal and occurs in no file, log line or error', async (t) => {
  const { daemon, folder, lines } = await openTestLeader(t);
  const engine = await startEngine({ name: 'e1', service: 'model', models: ['model'] });
  t.teardown(engine.dispose);
  engine.announceTo([`http://${daemon.callerAddress}`]);
  await waitUntil(() => daemon.world.upstreams.size() > 0);
  const issued = await runOperatorCommand(daemon, 'key', 'issue', 'one', 'second');
  const [, key = ''] = /^key (\S+)$/m.exec(issued.output) ?? [];
  t.is((await sendChatRequest(daemon, key)).status, 200);
  t.is(
    (await runOperatorCommand(daemon, 'key', 'withdraw', 'one', 'second')).output,
    'accepted as revision 3\n',
  );
  const refused = await sendChatRequest(daemon, key);
  t.is(refused.status, 401);
  const refusedUnknownKey = await sendChatRequest(daemon, 'key-that-nobody-issued');
  const outputs = await Promise.all(
    [['key', 'list'], ['tree', 'get'], ['tree', 'history'], ['status']].map((argv) =>
      runOperatorCommand(daemon, ...argv),
    ),
  );
  t.regex(outputs[0]!.output, /^one second withdrawn$/m);
  const answers = await Promise.all(
    [
      ['key', 'list'],
      ['member', 'list'],
      ['tree', 'get'],
    ].map((argv) => runOperatorCommand(daemon, ...argv, '--json')),
  );
  await daemon.dispose();
  const searchedTexts = [
    await readAllFiles(folder),
    lines.join('\n'),
    JSON.stringify(engine.requests()),
    refused.text,
    refusedUnknownKey.text,
    ...[...outputs, ...answers].flatMap(({ output, error }) => [output, error]),
  ];
  t.true(searchedTexts[0]!.includes('settingsPublished'));
  [key, operatorKey, callerKey, 'key-that-nobody-issued'].forEach((secret) =>
    searchedTexts.forEach((text) => t.false(text.includes(secret), secret)),
  );
});
