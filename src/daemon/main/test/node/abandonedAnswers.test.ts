/**
 * Answers that the daemon can't pass on whole: what their callers are told, and how their
 * connections end.
 */
import test from 'ava';
import { encodeAnswer, Framing } from '../../../../../standins/hostile/rawAnswers.js';
import { startRawServer } from '../../../../../standins/hostile/rawServer.js';
import { attemptHeader } from '../../../../service/protocol/common/engineProtocol.js';
import { UpstreamKind } from '../../../../service/protocol/common/upstreamProtocol.js';
import {
  chatBody,
  namedAnswer,
  openUpstream,
  plainAnswer,
  readRaw,
  resetMark,
  tryRequest,
} from './rawUpstream.js';
import { announceUpstream, openTestDaemon, waitForUpstreams } from './testDaemon.js';

const maximumAnswerBytes = 64 * 1_024;

test('a plain answer without length that exceeds its maximum size does not end in order', async (t) => {
  const { daemon } = await openUpstream(
    t,
    UpstreamKind.Plain,
    (request, socket) => {
      socket.write(encodeAnswer(plainAnswer(request, { framing: Framing.Connection })));
      setTimeout(() => socket.write('x'.repeat(2 * maximumAnswerBytes)), 100);
    },
    { maximumAnswerBytes },
  );
  const text = await readRaw(t, daemon, '/depot/1');
  t.true(text.startsWith('HTTP/1.1 200 '), text.slice(0, 200));
  t.true(text.endsWith(resetMark), text.slice(-50));
});

test('an empty answer of an engine without length is not framed as complete', async (t) => {
  const { daemon } = await openUpstream(t, UpstreamKind.Engine, (request, socket) => {
    socket.end(encodeAnswer(namedAnswer(request, { framing: Framing.Connection, body: '' })));
  });
  const text = await readRaw(t, daemon, '/v1/chat/completions', chatBody('c'));
  t.false(/ 200 /.test(text) && /content-length|transfer-encoding/i.test(text), text);
});

test('a caller is not told that upstreams ended which live and answer foreign requests', async (t) => {
  const daemon = await openTestDaemon();
  t.teardown(daemon.dispose);
  for (const name of ['raw1', 'raw2', 'raw3']) {
    const server = await startRawServer((request, socket) => {
      const headers = { 'content-type': 'application/json', [attemptHeader]: 'another' };
      socket.write(encodeAnswer(namedAnswer(request, { headers })));
    });
    t.teardown(server.dispose);
    announceUpstream(daemon, name, server.address, UpstreamKind.Engine);
  }
  await waitForUpstreams(daemon, 3);
  const response = await tryRequest(daemon, '/v1/chat/completions', chatBody('c'));
  t.not(response?.status, 422, response?.text);
  t.not(response?.status, 200);
});
