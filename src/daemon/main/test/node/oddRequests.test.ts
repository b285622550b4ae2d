/**
 * Requests of callers, trainers, operators and upstreams that are odd but can be read by the HTTP
 * parser: none of them ends the daemon or is left without a typed answer.
 */
import { connect } from 'node:net';
import test from 'ava';
import type { Daemon } from '../../node/daemon.js';
import { openTestDaemon, sendRequest } from './testDaemon.js';

const deepList = '['.repeat(100_000) + ']'.repeat(100_000);
const deepObject = `${'{"a":'.repeat(100_000)}1${'}'.repeat(100_000)}`;
const bodies = [
  '',
  'null',
  '7',
  '\u00ff',
  deepList,
  deepObject,
  `{"model":"model","messages":${deepList},"max_tokens":1e999}`,
  `{"model":"model","messages":${deepList}}`,
  `{"request":"r","path":"a","change":{"kind":"set","value":${deepList}},"expectedRevision":1}`,
  '{"__proto__":{"a":1},"constructor":7}',
];

const lines = [
  'POST /v1/chat/completions',
  'POST /v1/completions',
  'POST /depot/stock',
  'POST /depot/%',
  'GET /%ff',
  'GET /v1/address?zone=%ff',
  'POST /v1/lots',
  'GET /v1/lots/%',
  'GET /v1/lots/%ff/batches/1?trainerVersion=%',
  'GET /v1/lots/__proto__/batches/99999999999999999999',
  'POST /operator/v1/tree',
  'GET /operator/v1/tree?path=%ff.__proto__.constructor',
  'GET /operator/v1/explain?path=__proto__',
  'GET /operator/v1/history?rows=1e999',
  'POST /operator/v1/keys',
  'POST /operator/v1/keys/withdrawals',
  'POST /operator/v1/keys/rotations',
  'POST /upstream/v1/announcements',
  'GET http://[/x',
  'OPTIONS *',
  'TRACE /depot/stock',
  'CONNECT other.example:80',
];

const keys = ['key-one', 'operator-key', '\u00e9', '__proto__'];

const exchange = (daemon: Daemon, line: string, key: string, body: string): Promise<string> =>
  new Promise((resolve) => {
    const { hostname, port } = new URL(`http://${daemon.callerAddress}`);
    const socket = connect(Number(port), hostname);
    let received = '';
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
    });
    // A reset is one of the ends that the tests allow.
    socket.on('error', () => {});
    socket.once('close', () => resolve(received));
    const head = [
      `${line} HTTP/1.1`,
      'host: test',
      `authorization: Bearer ${key}`,
      'connection: close',
      'content-type: application/json',
      `content-length: ${Buffer.byteLength(body, 'latin1')}`,
      '',
      body,
    ];
    socket.write(Buffer.from(head.join('\r\n'), 'latin1'));
  });

/** A connection for another protocol, or without a usable path, may be closed at once. */
const mayBeClosed = /^CONNECT|\[\/x|\*$/;

keys.forEach((key) =>
  test(`odd requests with the key ${key} get typed answers`, async (t) => {
    const daemon = await openTestDaemon();
    t.teardown(() => daemon.dispose());
    const cases = lines.flatMap((line) => bodies.map((body) => ({ line, body })));
    const answers = await Promise.all(
      cases.map(({ line, body }) => exchange(daemon, line, key, body)),
    );
    answers.forEach((answer, index) => {
      const { line, body } = cases[index]!;
      if (answer === '' && mayBeClosed.test(line)) return;
      t.regex(answer, /^HTTP\/1\.1 (2\d\d|4\d\d|50[1-4]) /, `${line} ${body.slice(0, 60)}`);
    });
    const advice = await sendRequest(daemon, '/v1/address', null, { method: 'GET' });
    t.is(advice.status, 200);
  }),
);
