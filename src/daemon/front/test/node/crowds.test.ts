/**
 * Callers that do not behave at one listener: requests sent ahead of the answers, and bodies that stop
 * before their end. Others are served meanwhile.
 */
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { Hono } from 'hono';
import { limitsSchema } from '../../../../infrastructure/settings/common/deployment.js';
import type { RouteEnvironment } from '../../node/decoding.js';
import { openHttpServer } from '../../node/httpServer.js';

const kibibyte = 1024;
const runMilliseconds = 5;

interface Opened {
  readonly address: string;
  /** Numbers of the requests in the order in which they began to run. */
  readonly begun: string[];
  readonly mostAtOnce: () => number;
  readonly failures: string[];
}

const open = async (t: ExecutionContext, maximumReceivedBytes: number): Promise<Opened> => {
  const begun: string[] = [];
  const failures: string[] = [];
  let running = 0;
  let mostAtOnce = 0;
  const routes = new Hono<RouteEnvironment>();
  routes.get('/run/:number', async (context) => {
    begun.push(context.req.param('number'));
    running += 1;
    mostAtOnce = Math.max(mostAtOnce, running);
    await delay(runMilliseconds);
    running -= 1;
    return context.text(`answer ${context.req.param('number')};`);
  });
  routes.post('/body', async (context) => {
    const text = await context.req.text();
    return context.text(`${text.length} bytes;`);
  });
  // A route that takes a body that it can't read for a wrong one.
  routes.post('/json', async (context) => {
    const value = await context.req.json<unknown>().catch(() => undefined);
    return context.json({ isRead: value !== undefined }, value === undefined ? 400 : 200);
  });
  const limits = { ...limitsSchema.parse({}), maximumReceivedBytes };
  const opened = await openHttpServer('127.0.0.1:0', limits, [routes], ({ message }) =>
    failures.push(message),
  );
  const server = opened._unsafeUnwrap();
  t.teardown(() => server.dispose());
  return { address: server.address, begun, mostAtOnce: () => mostAtOnce, failures };
};

interface Connection {
  readonly socket: Socket;
  readonly received: () => string;
  readonly closed: Promise<unknown>;
}

const openConnection = (t: ExecutionContext, address: string, bytes: string): Connection => {
  const { hostname, port } = new URL(`http://${address}`);
  const socket = connect(Number(port), hostname);
  let received = '';
  socket.on('data', (chunk) => {
    received += chunk.toString('latin1');
  });
  socket.on('error', () => {});
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  socket.write(bytes);
  t.teardown(() => socket.destroy());
  return { socket, received: () => received, closed };
};

const waitFor = async (condition: () => boolean): Promise<boolean> => {
  for (let tries = 0; tries < 400 && !condition(); tries += 1) await delay(10);
  return condition();
};

const get = (number: number): string => `GET /run/${number} HTTP/1.1\r\nhost: a\r\n\r\n`;

/** A request for `length` bytes of which `sent` are sent. */
const post = (path: string, length: number, sent = length): string =>
  `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${length}\r\n\r\n${'7'.repeat(sent)}`;

const numbers = Array.from({ length: 40 }, (_, number) => number);

test('requests that are sent ahead run one after the other, and all are answered', async (t) => {
  const { address, begun, mostAtOnce } = await open(t, 1024 * kibibyte);
  const { received } = openConnection(t, address, numbers.map(get).join(''));
  t.true(await waitFor(() => received().includes('answer 39;')), received().slice(-200));
  t.is(mostAtOnce(), 1);
  t.deepEqual(begun, numbers.map(String));
  const answers = [...received().matchAll(/answer (\d+);/g)].map(([, number]) => Number(number));
  t.deepEqual(answers, numbers);
});

test('the connection goes on after requests that were sent ahead', async (t) => {
  const { address } = await open(t, 1024 * kibibyte);
  const { socket, received } = openConnection(t, address, [1, 2, 3].map(get).join(''));
  t.true(await waitFor(() => received().includes('answer 3;')));
  socket.write(post('/body', 300 * kibibyte) + get(4));
  t.true(await waitFor(() => received().includes('answer 4;')), received().slice(-200));
  t.true(received().includes(`${300 * kibibyte} bytes;`));
});

test('bodies of requests that are sent ahead arrive whole', async (t) => {
  const { address } = await open(t, 1024 * kibibyte);
  const lengths = [1, 40 * kibibyte, 0, 90 * kibibyte, 17];
  const bytes = lengths.map((length) => post('/body', length)).join('');
  const { received } = openConnection(t, address, bytes);
  t.true(await waitFor(() => received().includes('\n17 bytes;')), received().slice(-300));
  const answered = [...received().matchAll(/(\d+) bytes;/g)].map(([, length]) => Number(length));
  t.deepEqual(answered, lengths);
});

test('a connection with too many requests ahead is closed, and another one is served', async (t) => {
  const { address, begun, mostAtOnce } = await open(t, 1024 * kibibyte);
  const crowd = Array.from({ length: 10 }, () =>
    openConnection(t, address, get(1).repeat(100_000)),
  );
  await Promise.all(crowd.map(({ closed }) => closed));
  t.true(begun.length <= 10, `${begun.length} of 1,000,000 requests ran`);
  t.true(mostAtOnce() <= 10);
  const { received } = openConnection(t, address, get(2));
  t.true(await waitFor(() => received().includes('answer 2;')));
});

test('bodies that stop before their end leave room for small ones', async (t) => {
  const { address, failures } = await open(t, 1000 * kibibyte);
  const length = 250 * kibibyte;
  const crowd = Array.from({ length: 8 }, () =>
    openConnection(t, address, post('/body', length, length - 1)),
  );
  const refused = () =>
    crowd.filter(({ received }) => /^HTTP\/1\.1 503 [^]*retry-after: 1/.test(received()));
  t.true(await waitFor(() => refused().length === 5), `${refused().length} refused`);
  const small = openConnection(t, address, post('/body', 30 * kibibyte));
  t.true(await waitFor(() => small.received().includes(`${30 * kibibyte} bytes;`)));
  t.deepEqual(failures, []);
});

test('a body that arrives is read in place of those that stopped', async (t) => {
  const { address } = await open(t, 1000 * kibibyte);
  const length = 250 * kibibyte;
  const crowd = Array.from({ length: 3 }, () =>
    openConnection(t, address, post('/body', length, length - 1)),
  );
  const early = openConnection(t, address, post('/body', length));
  t.true(await waitFor(() => early.received().startsWith('HTTP/1.1 503 ')), early.received());
  await delay(1_100);
  const later = openConnection(t, address, post('/body', length));
  t.true(await waitFor(() => later.received().includes(`${length} bytes;`)), later.received());
  const gaveWay = crowd.filter(({ received }) => received().startsWith('HTTP/1.1 503 '));
  t.is(gaveWay.length, 1);
});

test('a body that was refused is no wrong request, whatever its route makes of it', async (t) => {
  const { address, failures } = await open(t, 100 * kibibyte);
  const { received } = openConnection(t, address, post('/json', 300 * kibibyte));
  t.true(await waitFor(() => received().startsWith('HTTP/1.1 503 ')), received());
  t.regex(received(), /"code":"bodyMemoryFull"[^]*"not_run":true/);
  t.deepEqual(failures, []);
});

test('answered requests give their memory back', async (t) => {
  const { address } = await open(t, 100 * kibibyte);
  for (const number of numbers) {
    const { received } = openConnection(t, address, post('/body', 70 * kibibyte));
    t.true(await waitFor(() => received().includes('bytes;')), `request ${number}: ${received()}`);
  }
});

test('callers that close in the middle of a body give its memory back', async (t) => {
  const { address, failures } = await open(t, 100 * kibibyte);
  for (let opened = 0; opened < numbers.length; opened += 1) {
    const { socket, closed } = openConnection(t, address, post('/body', 70 * kibibyte, 1_000));
    await delay(5);
    socket.destroy();
    await closed;
  }
  const { received } = openConnection(t, address, post('/body', 70 * kibibyte));
  t.true(await waitFor(() => received().includes('bytes;')), received());
  t.deepEqual(failures, []);
});
