/**
 * Answers without length that are reset, or end in order, while their request is still being written,
 * as callers of the product's own interface see them.
 */
import type { Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { startEarlyServer, type AnswerEarly } from '../../../../../standins/hostile/earlyServer.js';
import { UpstreamKind } from '../../../../service/protocol/common/upstreamProtocol.js';
import { chatBody, readRaw, resetMark } from './rawUpstream.js';
import { announceUpstream, openTestDaemon, waitForUpstreams } from './testDaemon.js';

const answerHead = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n';
const body = 'the whole answer of the upstream';
const cutBody = body.slice(0, 9);

const longBytes = 8 * 1024 * 1024;
const limits = { maximumBodyBytes: 2 * longBytes };

/** Time after which the daemon has read what was written before. */
const readMilliseconds = 20;

const resets: Readonly<Record<string, (bytes: string, socket: Socket) => void>> = {
  'together with its last bytes': (bytes, socket) => {
    socket.write(bytes);
    socket.resetAndDestroy();
  },
  'after its last bytes': (bytes, socket) => {
    socket.write(bytes);
    setTimeout(() => socket.resetAndDestroy(), readMilliseconds);
  },
};

interface Sending {
  readonly kind: UpstreamKind;
  readonly path: string;
  readonly body: string;
}

const sendings: Readonly<Record<string, Sending>> = {
  'a plain request without a body': { kind: UpstreamKind.Plain, path: '/depot/1', body: '' },
  'a plain request with a long upload': {
    kind: UpstreamKind.Plain,
    path: '/depot/1',
    body: 'x'.repeat(longBytes),
  },
  'a short prompt': {
    kind: UpstreamKind.Engine,
    path: '/v1/chat/completions',
    body: chatBody('hello'),
  },
  'a long prompt': {
    kind: UpstreamKind.Engine,
    path: '/v1/chat/completions',
    body: chatBody('hello '.repeat(longBytes / 8)),
  },
};

const callOnce = async (
  t: ExecutionContext,
  sending: Sending,
  answer: AnswerEarly,
): Promise<string> => {
  const daemon = await openTestDaemon(limits);
  t.teardown(daemon.dispose);
  const server = await startEarlyServer(answer);
  t.teardown(server.dispose);
  announceUpstream(daemon, 'early', server.address, sending.kind);
  await waitForUpstreams(daemon, 1);
  const received = await readRaw(t, daemon, sending.path, sending.body);
  t.true(server.answered() > 0);
  return received;
};

Object.entries(sendings).forEach(([title, sending]) => {
  Object.entries(resets).forEach(([moment, write]) =>
    test(`an answer without length to ${title} that is reset ${moment} does not look whole`, async (t) => {
      const received = await callOnce(t, sending, (_head, socket) =>
        write(answerHead + cutBody, socket),
      );
      t.true(!received.startsWith('HTTP/1.1 200 ') || received.endsWith(resetMark), received);
    }),
  );

  test(`an answer without length to ${title} that ends in order is whole`, async (t) => {
    const received = await callOnce(t, sending, (_head, socket) => {
      socket.end(answerHead + body);
    });
    t.regex(received, new RegExp(`^HTTP/1\\.1 200 [^]*\r\n\r\n${body}$`));
  });
});
