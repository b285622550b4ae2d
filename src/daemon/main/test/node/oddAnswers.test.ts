/**
 * Answers of upstreams with odd heads, as callers of the product's own interface see them: each
 * caller gets an answer in time, and the daemon goes on.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { UpstreamKind } from '../../../../service/protocol/common/upstreamProtocol.js';
import { announceUpstream, openTestDaemon, sendRequest, waitForUpstreams } from './testDaemon.js';

const startUpstream = async (t: ExecutionContext, head: readonly string[], body: string) => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', () => {
      socket.end(Buffer.from([...head, '', body].join('\r\n'), 'latin1'));
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

interface OddAnswer {
  readonly head: readonly string[];
  readonly body?: string;
  readonly statuses: readonly number[];
}

const length = 'content-length: 1';

const oddAnswers: Readonly<Record<string, OddAnswer>> = {
  'status 000': { head: ['HTTP/1.1 000 Odd', length], body: 'x', statuses: [502] },
  'status 101': {
    head: ['HTTP/1.1 101 Odd', 'connection: upgrade', 'upgrade: other'],
    statuses: [502],
  },
  'status 199': { head: ['HTTP/1.1 199 Odd', length], body: 'x', statuses: [502] },
  'status 204': { head: ['HTTP/1.1 204 No Content'], statuses: [204] },
  'status 205 with a body': {
    head: ['HTTP/1.1 205 Odd', length],
    body: 'x',
    statuses: [205, 502],
  },
  'status 304': { head: ['HTTP/1.1 304 Not Modified'], statuses: [304] },
  'status 600': { head: ['HTTP/1.1 600 Odd', length], body: 'x', statuses: [600, 502] },
  'status 999': { head: ['HTTP/1.1 999 Odd', length], body: 'x', statuses: [999, 502] },
  'a field named constructor': {
    head: ['HTTP/1.1 200 OK', length, 'constructor: odd', 'toString: odd', '__proto__: odd'],
    body: 'x',
    statuses: [200, 502],
  },
  'a forwarded field twice': {
    head: ['HTTP/1.1 200 OK', length, 'etag: "a"', 'etag: "b"', 'location: /\u00e9'],
    body: 'x',
    statuses: [200],
  },
};

Object.entries(oddAnswers).forEach(([name, { head, body = '', statuses }]) =>
  test(`a caller gets an answer with ${name}, or one that is true`, async (t) => {
    const daemon = await openTestDaemon();
    t.teardown(() => daemon.dispose());
    announceUpstream(daemon, 'u1', await startUpstream(t, head, body), UpstreamKind.Plain);
    await waitForUpstreams(daemon, 1);
    const answer = await sendRequest(daemon, '/depot/stock', '{}', { key: 'key-one' });
    t.true(statuses.includes(answer.status), `${answer.status} ${answer.text}`);
    const advice = await sendRequest(daemon, '/v1/address', null, { method: 'GET' });
    t.is(advice.status, 200);
  }),
);
