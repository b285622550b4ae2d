/**
 * Answers of upstreams that break off, or never end, as callers of a daemon see them over real
 * sockets.
 */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import {
  HostileAnswer,
  startHostileServer,
} from '../../../../../standins/hostile/hostileServer.js';
import { UpstreamKind } from '../../../../service/protocol/common/upstreamProtocol.js';
import type { Daemon } from '../../node/daemon.js';
import { announceUpstream, openTestDaemon, waitForUpstreams } from './testDaemon.js';

const limits = { maximumAnswerBytes: 256 * 1_024 };
const maximumEventLimitBytes = 1024 * 1024;

const streamBody = JSON.stringify({
  model: 'model',
  messages: [{ role: 'user', content: 'hello' }],
  max_tokens: 8,
  stream: true,
});

const chatRequest = (extra = ''): string =>
  [
    'POST /v1/chat/completions HTTP/1.1',
    'host: test',
    'authorization: Bearer key-one',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(streamBody)}`,
    '',
    streamBody + extra,
  ].join('\r\n');

interface RawExchange {
  readonly socket: Socket;
  readonly received: () => string;
  readonly closed: Promise<unknown>;
}

const sendRaw = (t: ExecutionContext, daemon: Daemon, text: string): RawExchange => {
  const { hostname, port } = new URL(`http://${daemon.callerAddress}`);
  const socket = connect(Number(port), hostname);
  t.teardown(() => socket.destroy());
  let received = '';
  socket.on('data', (bytes) => {
    received += bytes.toString();
  });
  // A reset is one of the ends that the tests allow.
  socket.on('error', () => {});
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  socket.write(text);
  return { socket, received: () => received, closed };
};

const waitFor = async (condition: () => boolean): Promise<void> => {
  for (let step = 0; step < 400 && !condition(); step += 1) await delay(10);
};

const startServer = async (
  t: ExecutionContext,
  handle: (socket: Socket) => void,
): Promise<string> => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => handle(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const eventText = 'data: {"choices":[{"delta":{"content":"one"}}],"tokens":1}\n\n';
const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const streamHead =
  'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n';

const statusLines = (text: string): number => text.split('HTTP/1.1 ').length - 1;

test('a stream that broke off after its first event is reset, whatever another engine would answer', async (t) => {
  const daemon = await openTestDaemon();
  t.teardown(daemon.dispose);
  let streams = 0;
  let errors = 0;
  const breaking = await startServer(t, (socket) => {
    streams += 1;
    socket.write(streamHead + chunkOf(eventText));
    setTimeout(() => socket.destroy(), 50);
  });
  const failing = await startServer(t, (socket) => {
    errors += 1;
    const body = '{"error":"no memory"}';
    socket.end(
      `HTTP/1.1 500 Oops\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
  });
  announceUpstream(daemon, 'breaking', breaking, UpstreamKind.Engine);
  announceUpstream(daemon, 'failing', failing, UpstreamKind.Engine);
  await waitForUpstreams(daemon, 2);

  const exchanges = Array.from({ length: 12 }, () => sendRaw(t, daemon, chatRequest()));
  await Promise.race([
    Promise.all(
      exchanges.map(({ received, closed }) =>
        Promise.race([closed, waitFor(() => received().includes('"error"'))]),
      ),
    ),
    delay(8_000),
  ]);
  t.true(streams > 0, `${streams} streams, ${errors} errors`);
  exchanges
    .map(({ received }) => received())
    .filter((text) => text.includes('text/event-stream'))
    .forEach((text) => {
      t.is(statusLines(text), 1, 'no head of another answer');
      t.false(text.includes('no memory'));
      t.false(text.includes('"error"'), 'no error text in the stream');
      t.false(text.endsWith('0\r\n\r\n'), 'the stream does not look complete');
    });
});

test('bytes that are no request do not put an error into a stream in progress', async (t) => {
  const daemon = await openTestDaemon();
  t.teardown(daemon.dispose);
  const streaming = await startServer(t, (socket) => {
    socket.write(streamHead + chunkOf(eventText));
  });
  announceUpstream(daemon, 'streaming', streaming, UpstreamKind.Engine);
  await waitForUpstreams(daemon, 1);
  const { socket, received, closed } = sendRaw(t, daemon, chatRequest());
  await waitFor(() => received().includes('one'));
  socket.write('\u0000 no request \r\n\r\n');
  await Promise.race([closed, delay(2_000)]);
  t.is(statusLines(received()), 1, received());
  t.false(received().includes('"error"'));
});

const endlessAnswers: readonly HostileAnswer[] = Object.values(HostileAnswer).filter(
  // Comments keep a stream open until its deadline for progress, which has a test on virtual time.
  (answer) => answer !== HostileAnswer.EndlessComments,
);

endlessAnswers.forEach((answer) =>
  test(`a caller whose upstream sends ${answer} gets an end, and the upstream's connections are closed`, async (t) => {
    const daemon = await openTestDaemon(limits);
    t.teardown(daemon.dispose);
    const server = await startHostileServer(answer);
    t.teardown(server.dispose);
    announceUpstream(daemon, 'hostile', server.address, UpstreamKind.Engine);
    await waitForUpstreams(daemon, 1);
    const { received, closed } = sendRaw(t, daemon, chatRequest());
    await Promise.race([closed, waitFor(() => received().includes('"error"')), delay(10_000)]);
    t.is(statusLines(received()) <= 1, true);
    t.true(received().length < maximumEventLimitBytes * 2, `${received().length} bytes`);
    t.false(received().endsWith('0\r\n\r\n') && received().includes('200 OK'));
    await waitFor(() => server.openConnections() === 0);
    t.is(server.openConnections(), 0);
  }),
);
