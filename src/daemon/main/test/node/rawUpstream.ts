/**
 * Raw upstreams before a daemon on real sockets, and callers that read its answers.
 */
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { ExecutionContext } from 'ava';
import { Framing, type RawAnswer } from '../../../../../standins/hostile/rawAnswers.js';
import {
  startRawServer,
  type AnswerRequest,
  type RawRequest,
  type RawServer,
} from '../../../../../standins/hostile/rawServer.js';
import { attemptHeader } from '../../../../service/protocol/common/engineProtocol.js';
import type { UpstreamKind } from '../../../../service/protocol/common/upstreamProtocol.js';
import type { Daemon } from '../../node/daemon.js';
import {
  announceUpstream,
  openTestDaemon,
  sendRequest,
  waitForUpstreams,
  type ReadResponse,
} from './testDaemon.js';

export const openUpstream = async (
  t: ExecutionContext,
  kind: UpstreamKind,
  answer: AnswerRequest,
  limits: Parameters<typeof openTestDaemon>[0] = {},
): Promise<{ readonly daemon: Daemon; readonly server: RawServer }> => {
  const daemon = await openTestDaemon(limits);
  t.teardown(daemon.dispose);
  const server = await startRawServer(answer);
  t.teardown(server.dispose);
  announceUpstream(daemon, 'raw', server.address, kind);
  await waitForUpstreams(daemon, 1);
  return { daemon, server };
};

/** The response, or null if the daemon ended it early. */
export const tryRequest = (
  daemon: Daemon,
  path: string,
  body = '{}',
): Promise<ReadResponse | null> =>
  sendRequest(daemon, path, body, { key: 'key-one' }).catch(() => null);

/** Appended to the bytes of a response whose connection is reset. */
export const resetMark = '(reset)';

/** All bytes of the response until the daemon closes the connection. */
export const readRaw = async (
  t: ExecutionContext,
  daemon: Daemon,
  path: string,
  body = '',
): Promise<string> => {
  const [host, port] = daemon.callerAddress.split(':');
  const socket = connect(Number(port), host);
  t.teardown(() => socket.destroy());
  let text = '';
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
  });
  // A reset is one of the ends that the tests allow.
  socket.on('error', () => {
    text += resetMark;
  });
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  const head = `${body === '' ? 'GET' : 'POST'} ${path} HTTP/1.1\r\nhost: test`;
  socket.write(
    `${head}\r\nauthorization: Bearer key-one\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
  await Promise.race([closed, delay(2_000)]);
  return text;
};

export const plainAnswer = (request: RawRequest, columns: Partial<RawAnswer> = {}): RawAnswer => ({
  status: 200,
  headers: { 'content-type': 'text/plain' },
  body: `answer to ${request.path}`,
  framing: Framing.Length,
  ...columns,
});

export const namedAnswer = (request: RawRequest, columns: Partial<RawAnswer> = {}): RawAnswer => ({
  status: 200,
  headers: {
    'content-type': 'application/json',
    [attemptHeader]: request.headers[attemptHeader] ?? '',
  },
  body: JSON.stringify({ choices: [{ message: { content: request.body } }], tokens: 1 }),
  framing: Framing.Length,
  ...columns,
});

export const chatBody = (content: string): string =>
  JSON.stringify({ model: 'model', messages: [{ role: 'user', content }], max_tokens: 8 });
