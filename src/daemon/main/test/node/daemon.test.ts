/**
 * Tests a daemon over real sockets. Guards against invalid input that crashes the daemon or gets an
 * untyped error.
 */
import test, { type ExecutionContext } from 'ava';
import { request } from 'undici';
import { startEngine, textBetween } from '../../../../../standins/index.js';
import type { Daemon } from '../../node/daemon.js';
import {
  sendRequest,
  readError,
  openTestDaemon,
  waitForUpstreams,
  type RequestOptions,
  type ReadResponse,
} from './testDaemon.js';

const chatPath = '/v1/chat/completions';
const createChatBody = (content: string): string =>
  JSON.stringify({ model: 'model', messages: [{ role: 'user', content }], max_tokens: 4 });

const assertResponsive = async (t: ExecutionContext, daemon: Daemon): Promise<void> => {
  const advice = await sendRequest(daemon, '/v1/address', null, { method: 'GET' });
  t.is(advice.status, 200);
};

interface InvalidRequest {
  readonly path?: string;
  readonly body: string;
  readonly options?: RequestOptions;
  readonly status: number;
  readonly code: string;
}

const largeText = 'x'.repeat(3000);

/** Invalid requests with the expected status and error code. */
const invalidRequests: Readonly<Record<string, InvalidRequest>> = {
  'no key': { body: createChatBody('a'), status: 401, code: 'missingKey' },
  'an unknown key': {
    body: createChatBody('a'),
    options: { key: 'wrong' },
    status: 401,
    code: 'unknownKey',
  },
  'an unknown model': {
    body: JSON.stringify({ model: 'other', messages: [] }),
    options: { key: 'key-one' },
    status: 404,
    code: 'unknownService',
  },
  'an unknown path': {
    path: '/nothing',
    body: '{}',
    options: { key: 'key-one' },
    status: 404,
    code: 'unknownService',
  },
  'a service that the workspace may not use': {
    path: '/depot/stock',
    body: '{}',
    options: { key: 'key-two' },
    status: 403,
    code: 'serviceNotAllowed',
  },
  'a body that is not JSON': {
    body: '{"model":',
    options: { key: 'key-one' },
    status: 400,
    code: 'bodyNotJson',
  },
  'a body without a model': {
    body: '{"messages":[]}',
    options: { key: 'key-one' },
    status: 400,
    code: 'bodyInvalid',
  },
  'a body over the limit': {
    body: createChatBody(largeText),
    options: { key: 'key-one' },
    status: 413,
    code: 'bodyTooLarge',
  },
  'headers over the limit': {
    body: createChatBody('a'),
    options: { key: 'key-one', headers: { 'x-large': largeText } },
    status: 431,
    code: 'headersTooLarge',
  },
  'an invalid announcement': {
    path: '/upstream/v1/announcements',
    body: '{"upstream":"u"}',
    status: 400,
    code: 'bodyInvalid',
  },
};

Object.entries(invalidRequests).forEach(([name, input]) =>
  test(`${name} is refused as ${input.code}`, async (t) => {
    const daemon = await openTestDaemon({ maximumBodyBytes: 2000, maximumHeaderBytes: 2000 });
    t.teardown(daemon.dispose);
    const response = await sendRequest(daemon, input.path ?? chatPath, input.body, input.options);
    t.is(response.status, input.status);
    const error = readError(response);
    t.is(error.code, input.code);
    t.true(error.not_run);
    t.regex(error.message, /\w/);
    await assertResponsive(t, daemon);
  }),
);

test('a chunked body over the limit is refused', async (t) => {
  const daemon = await openTestDaemon({ maximumBodyBytes: 2000 });
  t.teardown(daemon.dispose);
  async function* chunks() {
    yield Buffer.from(createChatBody(largeText).slice(0, 1500));
    yield Buffer.from(createChatBody(largeText).slice(1500));
  }
  const response = await request(`http://${daemon.callerAddress}${chatPath}`, {
    method: 'POST',
    headers: { authorization: 'Bearer key-one', 'content-type': 'application/json' },
    body: chunks() as never,
  });
  t.is(response.statusCode, 413);
  t.regex(await response.body.text(), /bodyTooLarge/);
  await assertResponsive(t, daemon);
});

test('listening on an address in use returns an error that states the remedy', async (t) => {
  const daemon = await openTestDaemon();
  t.teardown(daemon.dispose);
  const { listen } = await import('../../../../infrastructure/sockets/node/listen.js');
  const { createServer } = await import('node:net');
  const listenResult = await listen(createServer(), daemon.callerAddress);
  t.is(listenResult._unsafeUnwrapErr().kind, 'addressInUse');
  t.regex(listenResult._unsafeUnwrapErr().message, /change the settings/);
});

test('a request to an upstream whose port is closed is reported as not run', async (t) => {
  const daemon = await openTestDaemon();
  t.teardown(daemon.dispose);
  const engine = await startEngine({ name: 'e1', service: 'model', models: ['model'] });
  engine.announceTo([`http://${daemon.callerAddress}`]);
  await waitForUpstreams(daemon, 1);
  await engine.dispose();
  const response = await sendRequest(daemon, chatPath, createChatBody('a'), { key: 'key-one' });
  const error = readError(response);
  t.is(response.status, 503);
  t.true(error.not_run);
  t.is(engine.counters().received, 0);
  await assertResponsive(t, daemon);
});

test('a caller gets the complete response, streamed or not, and the engine never gets the key', async (t) => {
  const daemon = await openTestDaemon();
  t.teardown(daemon.dispose);
  const engine = await startEngine({ name: 'e1', service: 'model', models: ['model'] });
  t.teardown(engine.dispose);
  engine.announceTo([`http://${daemon.callerAddress}`]);
  await waitForUpstreams(daemon, 1);
  const text = textBetween('user: hello', 0, 4);

  const unstreamed = await sendRequest(daemon, chatPath, createChatBody('hello'), {
    key: 'key-one',
  });
  t.is(unstreamed.status, 200);
  t.true(unstreamed.text.includes(JSON.stringify(text).slice(1, -1)));

  const body = JSON.stringify({ ...(JSON.parse(createChatBody('hello')) as object), stream: true });
  const streamed = await sendRequest(daemon, chatPath, body, { key: 'key-one' });
  const events = streamed.text.split('\n\n').filter((event) => event.startsWith('data: {'));
  const textParts = events.map(
    (event) =>
      (JSON.parse(event.slice('data: '.length)) as { choices: [{ delta: { content?: string } }] })
        .choices[0].delta.content ?? '',
  );
  t.is(textParts.join(''), text);
  t.true(streamed.text.trimEnd().endsWith('[DONE]'));

  const receivedRequests = JSON.stringify(engine.requests());
  t.is(engine.counters().received, 2);
  t.false(receivedRequests.includes('key-one'));
});

test('usage is recorded per workspace as the engine reports it', async (t) => {
  const daemon = await openTestDaemon();
  t.teardown(daemon.dispose);
  const engine = await startEngine({ name: 'e1', service: 'model', models: ['model'] });
  t.teardown(engine.dispose);
  engine.announceTo([`http://${daemon.callerAddress}`]);
  await waitForUpstreams(daemon, 1);
  const response: ReadResponse = await sendRequest(daemon, chatPath, createChatBody('one two'), {
    key: 'key-one',
  });
  const { usage } = JSON.parse(response.text) as {
    usage: { prompt_tokens: number; completion_tokens: number };
  };
  const rows = [...daemon.world.usage.rows()];
  t.is(rows.length, 1);
  t.is(rows[0]!.promptTokens, usage.prompt_tokens);
  t.is(rows[0]!.completionTokens, usage.completion_tokens);
  t.is(rows[0]!.requests, 1);
});

test('closing a daemon repeatedly closes it once', async (t) => {
  const daemon = await openTestDaemon();
  await Promise.all([daemon.closeGracefully(), daemon.dispose()]);
  await daemon.dispose();
  await t.throwsAsync(sendRequest(daemon, '/v1/address', null, { method: 'GET' }));
});
