/**
 * Places of the product's own interface where answers of upstreams are read. Each one gets its usual
 * answer after `change` has changed the bytes, and tells whether the caller got it as one.
 */
import type { ExecutionContext } from 'ava';
import { encodeAnswer } from '../../../../../standins/hostile/rawAnswers.js';
import { UpstreamKind } from '../../../../service/protocol/common/upstreamProtocol.js';
import { chatBody, namedAnswer, openUpstream, plainAnswer, tryRequest } from './rawUpstream.js';

/** Changes the bytes of an answer, one character a byte. */
export type ChangeBytes = (bytes: string) => string;

interface AskedUpstream {
  readonly path: string;
  readonly encode: (request: Parameters<typeof plainAnswer>[0]) => string;
}

const askedUpstreams: Readonly<Record<UpstreamKind, AskedUpstream>> = {
  plain: { path: '/depot/1', encode: (request) => encodeAnswer(plainAnswer(request)) },
  engine: {
    path: '/v1/chat/completions',
    encode: (request) => encodeAnswer(namedAnswer(request)),
  },
};

/** The kinds of upstreams. */
export const upstreamKinds = Object.values(UpstreamKind);

/**
 * Returns a function that sends a request to an upstream whose answer is changed, and returns whether
 * its answer was passed on.
 */
export const openChangingUpstream = async (
  t: ExecutionContext,
  kind: UpstreamKind,
): Promise<(change: ChangeBytes) => Promise<boolean>> => {
  const { path, encode } = askedUpstreams[kind];
  let changeAnswer: ChangeBytes = (bytes) => bytes;
  const { daemon, server } = await openUpstream(t, kind, (request, socket) => {
    socket.end(changeAnswer(encode(request)), 'latin1');
  });
  return async (change) => {
    changeAnswer = change;
    const before = server.requests.length;
    const response = await tryRequest(daemon, path, chatBody('hello'));
    t.true(server.requests.length > before, 'the upstream was asked');
    return response?.status === 200;
  };
};
