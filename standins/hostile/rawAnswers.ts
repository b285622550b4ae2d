/**
 * Bytes of answers for a raw server: framings of a body, cuts of an answer, and the moments at which
 * the second copy of an answer is sent.
 */
import type { Socket } from 'node:net';
import type { ValueOf } from '../../src/base/common/handlers.js';
import type { RawRequest } from './rawServer.js';

/** How the end of a body is marked. */
export const Framing = {
  Length: 'length',
  Chunks: 'chunks',
  /** The body ends with its connection. */
  Connection: 'connection',
} as const;
export type Framing = ValueOf<typeof Framing>;

/** Content of an answer. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly framing: Framing;
}

const encodeChunk = (text: string): string =>
  text === '' ? '' : `${text.length.toString(16)}\r\n${text}\r\n`;

const framings: Readonly<
  Record<
    Framing,
    { readonly line: (body: string) => string; readonly encode: (body: string) => string }
  >
> = {
  length: { line: (body) => `content-length: ${body.length}`, encode: (body) => body },
  chunks: {
    line: () => 'transfer-encoding: chunked',
    encode: (body) => `${encodeChunk(body)}0\r\n\r\n`,
  },
  connection: { line: () => 'connection: close', encode: (body) => body },
};

/** Returns the bytes of an answer. */
export const encodeAnswer = ({ status, headers, body, framing }: RawAnswer): string =>
  [
    `HTTP/1.1 ${status} Status`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    framings[framing].line(body),
    '',
    framings[framing].encode(body),
  ].join('\r\n');

/** Where an answer is cut. */
export const AnswerCut = {
  Empty: 'empty',
  InStatusLine: 'inStatusLine',
  AfterStatusLine: 'afterStatusLine',
  InHeaderName: 'inHeaderName',
  InHeaderValue: 'inHeaderValue',
  BetweenHeaders: 'betweenHeaders',
  BeforeBlankLine: 'beforeBlankLine',
  AfterHead: 'afterHead',
  InBody: 'inBody',
} as const;
export type AnswerCut = ValueOf<typeof AnswerCut>;

const lengthsAtCut: Readonly<Record<AnswerCut, (bytes: string) => number>> = {
  empty: () => 0,
  inStatusLine: () => 'HTTP/1.1 20'.length,
  afterStatusLine: (bytes) => bytes.indexOf('\r\n') + 2,
  inHeaderName: (bytes) => bytes.indexOf('\r\n') + 6,
  inHeaderValue: (bytes) => bytes.indexOf(': ') + 4,
  betweenHeaders: (bytes) => bytes.indexOf('\r\n', bytes.indexOf(': ')) + 2,
  beforeBlankLine: (bytes) => bytes.indexOf('\r\n\r\n') + 2,
  afterHead: (bytes) => bytes.indexOf('\r\n\r\n') + 4,
  inBody: (bytes) => bytes.indexOf('\r\n\r\n') + 8,
};

/** Returns the bytes of an answer up to a cut. */
export const cutAnswer = (answer: RawAnswer, cut: AnswerCut): string => {
  const bytes = encodeAnswer(answer);
  return bytes.slice(0, lengthsAtCut[cut](bytes));
};

/** How a server ends a connection. */
export const ConnectionEnd = { Finish: 'finish', Reset: 'reset' } as const;
export type ConnectionEnd = ValueOf<typeof ConnectionEnd>;

/** Time for the bytes before a reset to reach the client, which drops unread bytes at a reset. */
const resetDelayMilliseconds = 20;

/** Ends a connection. */
export const endConnection: Readonly<Record<ConnectionEnd, (socket: Socket) => void>> = {
  finish: (socket) => {
    socket.end();
  },
  reset: (socket) => {
    setTimeout(() => socket.resetAndDestroy(), resetDelayMilliseconds);
  },
};

/** When the second copy of an answer is written to its connection. */
export const CopyMoment = {
  SameWrite: 'sameWrite',
  BetweenRequests: 'betweenRequests',
  AfterNextRequest: 'afterNextRequest',
  InNextBody: 'inNextBody',
} as const;
export type CopyMoment = ValueOf<typeof CopyMoment>;

/** Time after which the client has read an answer and its connection is idle. */
const copyDelayMilliseconds = 15;

interface Copy {
  /** Writes the answer, and its copy where the copy does not wait for the next request. */
  readonly answer: (bytes: string, socket: Socket) => void;
  /** Writes the copy of the earlier answer, if it waits for the next request, and the next answer. */
  readonly answerNext: (copy: string, bytes: string, socket: Socket) => void;
}

const writeOnce = (bytes: string, socket: Socket): void => {
  socket.write(bytes);
};
const writeLast = (_copy: string, bytes: string, socket: Socket): void => writeOnce(bytes, socket);

const copies: Readonly<Record<CopyMoment, Copy>> = {
  sameWrite: { answer: (bytes, socket) => writeOnce(bytes + bytes, socket), answerNext: writeLast },
  betweenRequests: {
    answer: (bytes, socket) => {
      socket.write(bytes);
      setTimeout(() => socket.write(bytes), copyDelayMilliseconds);
    },
    answerNext: writeLast,
  },
  afterNextRequest: {
    answer: writeOnce,
    answerNext: (copy, bytes, socket) => {
      socket.write(copy);
      setTimeout(() => socket.write(bytes), copyDelayMilliseconds);
    },
  },
  inNextBody: {
    answer: writeOnce,
    answerNext: (copy, bytes, socket) => {
      const middle = bytes.indexOf('\r\n\r\n') + 6;
      socket.write(bytes.slice(0, middle) + copy);
      setTimeout(() => socket.write(bytes.slice(middle)), copyDelayMilliseconds);
    },
  },
};

/**
 * Creates a function that answers each request with `encode` and writes the copy of the answer
 * before on the same connection at `moment`.
 */
export const createRepeatingAnswer = (
  moment: CopyMoment,
  encode: (request: RawRequest) => string,
): ((request: RawRequest, socket: Socket) => void) => {
  const lastBySocket = new WeakMap<Socket, string>();
  return (request, socket) => {
    const bytes = encode(request);
    const copy = lastBySocket.get(socket);
    lastBySocket.set(socket, bytes);
    if (copy === undefined) copies[moment].answer(bytes, socket);
    else copies[moment].answerNext(copy, bytes, socket);
  };
};
