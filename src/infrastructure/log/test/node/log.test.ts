import { pbkdf2 } from 'node:crypto';
import { once } from 'node:events';
import { createServer, connect, type AddressInfo, type Socket } from 'node:net';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { promisify } from 'node:util';
import test from 'ava';
import { createQueuedLog } from '../../node/log.js';

/** Internal property of a socket that holds its file descriptor. */
const handleName = '_handle';

/** Opens a connection whose remote end never reads, and returns its file descriptor. */
const openUnreadConnection = async () => {
  const accepted: Socket[] = [];
  const server = createServer((socket) => {
    socket.pause();
    accepted.push(socket);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  await once(socket, 'connect');
  const { fd } = (socket as unknown as Record<string, { readonly fd: number }>)[handleName]!;
  return {
    fd,
    close: () => {
      socket.destroy();
      accepted.forEach((one) => one.destroy());
      server.close();
    },
  };
};

test('a stalled reader does not block the process; excess lines are dropped and counted', async (t) => {
  const connection = await openUnreadConnection();
  const { log, takeDroppedCount } = createQueuedLog('test', 'info', connection.fd);
  const text = 'x'.repeat(1_000);
  const lines = 20_000;
  let eventLoopTurns = 0;
  const turnCounter = setInterval(() => {
    eventLoopTurns += 1;
  }, 1);
  for (let batch = 0; batch < 20; batch += 1) {
    for (let line = 0; line < lines / 20; line += 1) log.info(text);
    await delay(5);
  }
  clearInterval(turnCounter);
  const dropped = takeDroppedCount();
  connection.close();
  t.true(eventLoopTurns > 10, `${eventLoopTurns} turns of the event loop`);
  t.true(dropped > lines / 4, `${dropped} of ${lines} dropped`);
  t.is(takeDroppedCount(), 0);
});

/** One for each thread of the pool; more of them could take as long as a disposal may. */
const poolTasks = 4;
const hashRounds = 20_000;

/** Occupies the thread pool, so that a write that is queued there stays in flight for a while. */
const occupyThreadPool = (): Promise<unknown> =>
  Promise.all(
    Array.from({ length: poolTasks }, () =>
      promisify(pbkdf2)('password', 'salt', hashRounds, 64, 'sha512'),
    ),
  );

test('disposal ends in bounded time although the reader has stalled', async (t) => {
  const connection = await openUnreadConnection();
  const lines = createQueuedLog('test', 'info', connection.fd);
  for (let line = 0; line < 10_000; line += 1) lines.log.info('x'.repeat(1_000));
  const startedAt = performance.now();
  await lines.dispose();
  const tookMilliseconds = performance.now() - startedAt;
  connection.close();
  t.true(tookMilliseconds < 2_000, `${tookMilliseconds} ms`);
});

test('lines that wait are written before the log is disposed of', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'log-'));
  const file = join(folder, 'lines');
  const descriptor = openSync(file, 'w');
  const lines = createQueuedLog('test', 'info', descriptor);
  const poolIsFree = occupyThreadPool();
  lines.log.info('first');
  lines.log.info('last');
  await lines.dispose();
  const written = readFileSync(file, 'utf8').trim().split('\n');
  await poolIsFree;
  closeSync(descriptor);
  rmSync(folder, { recursive: true });
  t.deepEqual(
    written.map((line) => (JSON.parse(line) as { msg: string }).msg),
    ['first', 'last'],
  );
});
