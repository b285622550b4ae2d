/**
 * Guards against forwarding a caller's key to an upstream in a header, the path, the query or the
 * body.
 */
import test from 'ava';
import { startPlain } from '../../../../../standins/index.js';
import {
  sendRequest,
  readError,
  openTestDaemon,
  waitForUpstreams,
  type RequestOptions,
} from '../../../main/test/node/testDaemon.js';

const key = 'key-one';

interface RequestWithKey {
  readonly path: string;
  readonly body: string | null;
  readonly headers?: Record<string, string>;
}

/** Requests that contain the key outside the authorization header. */
const requestsWithKey: Readonly<Record<string, RequestWithKey>> = {
  'the query': { path: `/depot/stock?api_key=${key}`, body: '{}' },
  'the percent-encoded query': { path: '/depot/stock?api_key=%6bey-one', body: '{}' },
  'the path': { path: `/depot/${key}/stock`, body: '{}' },
  'the body': { path: '/depot/stock', body: JSON.stringify({ token: key }) },
  'a forwarded header': { path: '/depot/stock', body: '{}', headers: { 'x-request-id': key } },
};

const withPlainUpstream = async (
  run: (daemon: Awaited<ReturnType<typeof openTestDaemon>>, plain: Plain) => Promise<void>,
): Promise<void> => {
  const daemon = await openTestDaemon();
  const plain = await startPlain({ service: 'depot' });
  plain.announceTo([`http://${daemon.callerAddress}`]);
  await waitForUpstreams(daemon, 1);
  try {
    await run(daemon, plain);
  } finally {
    await plain.dispose();
    await daemon.dispose();
  }
};

type Plain = Awaited<ReturnType<typeof startPlain>>;

for (const [name, { path, body, headers }] of Object.entries(requestsWithKey)) {
  test(`a request with its key in ${name} is refused and reaches no upstream`, (t) =>
    withPlainUpstream(async (daemon, plain) => {
      const options: RequestOptions = headers === undefined ? { key } : { key, headers };
      const response = await sendRequest(daemon, path, body, options);
      t.is(response.status, 400);
      t.is(readError(response).code, 'keyInContent');
      t.true(readError(response).not_run);
      t.is(plain.counters().received, 0);
    }));
}

test('a request with its key in the authorization header runs without exposing the key upstream', (t) =>
  withPlainUpstream(async (daemon, plain) => {
    const response = await sendRequest(daemon, '/depot/stock?item=3', '{"count":1}', { key });
    t.is(response.status, 200);
    t.is(plain.counters().ran, 1);
    t.false(JSON.stringify(plain.calls()).includes(key));
  }));

test('service paths are matched by whole segments', (t) =>
  withPlainUpstream(async (daemon, plain) => {
    const response = await sendRequest(daemon, '/depots/stock', '{}', { key });
    t.is(readError(response).code, 'unknownService');
    t.is(plain.counters().received, 0);
  }));
