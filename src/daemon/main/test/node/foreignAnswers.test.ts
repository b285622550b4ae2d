/**
 * Answers of upstreams that come twice, name another attempt, or are cut, as callers of a daemon see
 * them over real sockets.
 */
import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import {
  AnswerCut,
  ConnectionEnd,
  CopyMoment,
  createRepeatingAnswer,
  cutAnswer,
  encodeAnswer,
  endConnection,
  Framing,
} from '../../../../../standins/hostile/rawAnswers.js';
import { attemptHeader } from '../../../../service/protocol/common/engineProtocol.js';
import { UpstreamKind } from '../../../../service/protocol/common/upstreamProtocol.js';
import {
  chatBody,
  namedAnswer,
  openUpstream,
  plainAnswer,
  readRaw,
  tryRequest,
} from './rawUpstream.js';

const kinds = Object.values(UpstreamKind);

const requests = 12;
/** A lost answer of an engine costs its breaker's pause. */
const engineRequests = 3;
const pauses = [0, 1, 3, 10, 30];

Object.values(CopyMoment).forEach((moment) =>
  test(`a second copy (${moment}) of a plain answer reaches no other caller`, async (t) => {
    const { daemon } = await openUpstream(
      t,
      UpstreamKind.Plain,
      createRepeatingAnswer(moment, (request) => encodeAnswer(plainAnswer(request))),
    );
    for (let number = 0; number < requests; number += 1) {
      const path = `/depot/${number}`;
      const response = await tryRequest(daemon, path);
      if (response?.status === 200) t.is(response.text, `answer to ${path}`);
    }
  }),
);

pauses.forEach((pause) =>
  test(`a second copy ${pause} ms after a plain answer reaches no other caller`, async (t) => {
    const { daemon } = await openUpstream(t, UpstreamKind.Plain, (request, socket) => {
      const bytes = encodeAnswer(plainAnswer(request));
      setTimeout(() => socket.write(bytes), 5);
      setTimeout(() => socket.write(bytes), 5 + pause);
    });
    let answered = 0;
    for (let number = 0; number < requests * 2; number += 1) {
      const path = `/depot/${number}`;
      const response = await tryRequest(daemon, path);
      if (response?.status === 200) {
        t.is(response.text, `answer to ${path}`);
        answered += 1;
      }
    }
    t.is(answered, requests * 2, 'a second copy costs no answer');
  }),
);

Object.values(CopyMoment).forEach((moment) =>
  test(`a second copy (${moment}) of an engine's answer reaches no other caller`, async (t) => {
    const { daemon, server } = await openUpstream(
      t,
      UpstreamKind.Engine,
      createRepeatingAnswer(moment, (request) => encodeAnswer(namedAnswer(request))),
    );
    for (let number = 0; number < engineRequests; number += 1) {
      const response = await tryRequest(daemon, '/v1/chat/completions', chatBody(`c${number}`));
      if (response?.status === 200) t.true(response.text.includes(`c${number}`), response.text);
    }
    t.true(server.requests.length >= engineRequests);
  }),
);

test('an engine that names attempts in its answers keeps its connection', async (t) => {
  const { daemon, server } = await openUpstream(t, UpstreamKind.Engine, (request, socket) => {
    socket.write(encodeAnswer(namedAnswer(request)));
  });
  for (let number = 0; number < requests; number += 1)
    await tryRequest(daemon, '/v1/chat/completions', chatBody(`c${number}`));
  const connections = new Set(server.requests.map(({ connection }) => connection));
  t.true(connections.size <= 2, `${connections.size} connections`);
});

test('an engine whose answers name no attempt gets a connection for each request', async (t) => {
  const { daemon, server } = await openUpstream(t, UpstreamKind.Engine, (request, socket) => {
    const headers = { 'content-type': 'application/json' };
    socket.write(encodeAnswer(namedAnswer(request, { headers })));
  });
  for (let number = 0; number < requests; number += 1) {
    const response = await tryRequest(daemon, '/v1/chat/completions', chatBody(`c${number}`));
    t.is(response?.status, 200);
  }
  t.is(new Set(server.requests.map(({ connection }) => connection)).size, requests);
});

test('an answer that names another attempt is no answer', async (t) => {
  const { daemon } = await openUpstream(t, UpstreamKind.Engine, (request, socket) => {
    const headers = { 'content-type': 'application/json', [attemptHeader]: 'another' };
    socket.write(encodeAnswer(namedAnswer(request, { headers })));
  });
  const response = await tryRequest(daemon, '/v1/chat/completions', chatBody('c'));
  t.not(response?.status, 200);
});

[99, 600, 999].forEach((status) =>
  kinds.forEach((kind) =>
    test(`a caller whose upstream (${kind}) answers with status ${status} gets an end`, async (t) => {
      const { daemon, server } = await openUpstream(t, kind, (request, socket) => {
        const line = `HTTP/1.1 ${String(status).padStart(3, '0')} Odd`;
        socket.write(`${line}\r\n${attemptHeader}: ${request.headers[attemptHeader] ?? ''}\r\n`);
        socket.write('content-length: 2\r\n\r\nok');
      });
      const path = kind === UpstreamKind.Plain ? '/depot/1' : '/v1/chat/completions';
      const response = await Promise.race([
        tryRequest(daemon, path, chatBody('c')),
        delay(15_000, 'none'),
      ]);
      t.not(response, 'none');
      t.true(server.requests.length > 0);
      // A probe of the address may open a connection for a moment.
      for (let wait = 0; wait < 40 && server.openConnections() > 0; wait += 1) await delay(25);
      t.is(server.openConnections(), 0, 'its connection is closed');
    }),
  ),
);

const headCuts = Object.values(AnswerCut).filter(
  (cut) => cut !== AnswerCut.InBody && cut !== AnswerCut.AfterHead,
);

kinds.forEach((kind) =>
  Object.values(ConnectionEnd).forEach((end) =>
    Object.values(Framing).forEach((framing) =>
      test(`a caller gets no whole answer from one that is cut (${kind}, ${framing}, ${end})`, async (t) => {
        const cuts = framing === Framing.Connection ? headCuts : Object.values(AnswerCut);
        const isPlain = kind === UpstreamKind.Plain;
        for (const cut of cuts) {
          const { daemon } = await openUpstream(t, kind, (request, socket) => {
            const answer = isPlain
              ? plainAnswer(request, { framing })
              : namedAnswer(request, { framing });
            socket.write(cutAnswer(answer, cut));
            endConnection[end](socket);
          });
          const path = isPlain ? '/depot/1' : '/v1/chat/completions';
          const response = await Promise.race([
            tryRequest(daemon, path, chatBody('c')),
            delay(3_000, null),
          ]);
          t.not(response?.status, 200, `${cut}: ${response?.text ?? ''}`);
        }
      }),
    ),
  ),
);

const undelimitedEnds = Object.values(ConnectionEnd);

undelimitedEnds.forEach((end) =>
  test(`a plain answer without length that is cut (${end}) does not look whole to the caller`, async (t) => {
    const { daemon } = await openUpstream(t, UpstreamKind.Plain, (request, socket) => {
      socket.write(
        cutAnswer(plainAnswer(request, { framing: Framing.Connection }), AnswerCut.InBody),
      );
      endConnection[end](socket);
    });
    const text = await readRaw(t, daemon, '/depot/1');
    const [head = ''] = text.split('\r\n\r\n');
    const isMarked = /content-length|transfer-encoding/i.test(head);
    const hasEnded = text.endsWith('0\r\n\r\n') || /content-length/i.test(head);
    t.false(head.includes(' 200 ') && isMarked && hasEnded, text);
  }),
);

test('a plain answer without length reaches the caller whole, and ends with its connection', async (t) => {
  const { daemon } = await openUpstream(t, UpstreamKind.Plain, (request, socket) => {
    socket.end(encodeAnswer(plainAnswer(request, { framing: Framing.Connection })));
  });
  const text = await readRaw(t, daemon, '/depot/1');
  t.true(text.startsWith('HTTP/1.1 200 '), text);
  t.true(text.endsWith('\r\n\r\nanswer to /depot/1'), text);
  t.true(/connection: close/i.test(text), text);
});
