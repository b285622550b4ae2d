/**
 * Requests that cannot be written at all: their address, path or headers are invalid. They must end
 * as requests that did not run; an exception would end the tick, and with it the process.
 */
import test, { type ExecutionContext } from 'ava';
import { createUpstreamClient, type UpstreamRequest } from '../../node/upstreamClient.js';

interface Failure {
  readonly reason: string;
  readonly isNotRun: boolean;
}

const sendAndFail = (t: ExecutionContext, target: UpstreamRequest): Promise<Failure> =>
  new Promise((resolve) => {
    const client = createUpstreamClient();
    t.teardown(() => client.dispose());
    client.send(target, {
      onDidReceiveResponse: () => t.fail('a response to a request that was not sent'),
      onDidFail: (reason, isNotRun) => resolve({ reason, isNotRun }),
    });
  });

const sendable: UpstreamRequest = {
  address: '127.0.0.1:1',
  content: { method: 'POST', path: '/book/slot', headers: {}, body: Buffer.from('{}') },
  headers: {},
  requestId: 'r1',
};

const unsendable: Readonly<Record<string, UpstreamRequest>> = {
  'a port over 65535': { ...sendable, address: '127.0.0.1:99999' },
  'a path with a space': { ...sendable, content: { ...sendable.content, path: '/a b' } },
  'a method that is no token': { ...sendable, content: { ...sendable.content, method: 'A B' } },
  'a header name that is no token': { ...sendable, headers: { 'a b': 'c' } },
  'a header value with a line feed': { ...sendable, headers: { 'x-upstream': 'e1\nx: y' } },
  'a header value outside Latin-1': { ...sendable, headers: { 'x-upstream': '\u20ac' } },
};

Object.entries(unsendable).forEach(([name, target]) =>
  test(`a request with ${name} ends as not run`, async (t) => {
    const { reason, isNotRun } = await sendAndFail(t, target);
    t.true(isNotRun);
    t.regex(reason, /^ERR_/);
  }),
);

test('a request that was abandoned before it could fail reports nothing', async (t) => {
  const client = createUpstreamClient();
  t.teardown(() => client.dispose());
  const sent = client.send(unsendable['a port over 65535']!, {
    onDidReceiveResponse: () => t.fail('a response to a request that was not sent'),
    onDidFail: () => t.fail('a failure of an abandoned request'),
  });
  sent.dispose();
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  t.pass();
});
