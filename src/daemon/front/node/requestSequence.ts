/**
 * Handles the requests of a connection one after the other. A caller may send requests ahead of the
 * answers; without this, each of them would be decoded and run at once, and their number has no bound.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Milliseconds } from '../../../base/common/time.js';
import { releaseBuffer } from '../../../base/node/garbage.js';
import { ConnectionState } from '../../../service/admission/common/connectionTable.js';
import type { UnreadAnswers } from '../../../service/admission/common/unreadAnswers.js';
import { hasBody } from './requestBody.js';

/**
 * Maximum number of requests that wait on a connection. They arrive with the end of the one before
 * them; nothing further is read until they are answered.
 */
const maximumWaitingRequests = 64;

/** Time for which a caller may leave an answer unread. */
const unreadAnswerMilliseconds: Milliseconds = 15_000;

type Exchange = readonly [IncomingMessage, ServerResponse];

interface Sequence {
  isBusy: boolean;
  isPaused: boolean;
  waiting: Exchange[];
}

/** What the sequences of a listener report to, and the bound of answers that they keep. */
export interface SequenceOptions {
  readonly unreadAnswers: UnreadAnswers;
  readonly onDidChangeState: (socket: Socket, state: ConnectionState) => void;
  /** A connection was closed because of too many requests ahead. */
  readonly onDidClose: () => void;
  /** An answer was given up because others need its memory. */
  readonly onDidGiveUpAnswer: () => void;
}

/**
 * Returns a listener that passes the requests of each connection on one after the other, and closes a
 * connection with too many of them.
 */
export const handleInSequence = (
  listener: RequestListener,
  { unreadAnswers, onDidChangeState, onDidClose, onDidGiveUpAnswer }: SequenceOptions,
): RequestListener => {
  const sequences = new WeakMap<Socket, Sequence>();

  const sequenceOf = (socket: Socket): Sequence => {
    const existing = sequences.get(socket);
    if (existing !== undefined) return existing;
    const created: Sequence = { isBusy: false, isPaused: false, waiting: [] };
    sequences.set(socket, created);
    return created;
  };

  /** Holds the part of an answer that the caller has not taken yet against the bound. */
  const keepUnread = (outgoing: ServerResponse, socket: Socket): void => {
    const bytes = outgoing.writableLength;
    if (bytes === 0) return;
    onDidChangeState(socket, ConnectionState.Unread);
    const answer = unreadAnswers.add(bytes, () => {
      onDidGiveUpAnswer();
      socket.destroy();
    });
    outgoing.once('close', () => releaseBuffer(bytes, answer.release));
  };

  const start = (sequence: Sequence, [incoming, outgoing]: Exchange): void => {
    const { socket } = incoming;
    Object.assign(sequence, { isBusy: true });
    onDidChangeState(
      socket,
      hasBody(incoming) ? ConnectionState.Arriving : ConnectionState.Running,
    );
    incoming.once('end', () => onDidChangeState(socket, ConnectionState.Running));
    outgoing.once('prefinish', () => {
      socket.setTimeout(unreadAnswerMilliseconds);
      keepUnread(outgoing, socket);
    });
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- one request after the other
    outgoing.once('close', () => startNext(sequence, socket));
    listener(incoming, outgoing);
  };

  const startNext = (sequence: Sequence, socket: Socket): void => {
    const [next, ...waiting] = socket.destroyed ? [] : sequence.waiting;
    Object.assign(sequence, { isBusy: false, waiting });
    onDidChangeState(socket, ConnectionState.Idle);
    if (next !== undefined) {
      socket.setTimeout(0);
      start(sequence, next);
    } else if (sequence.isPaused) {
      Object.assign(sequence, { isPaused: false });
      socket.resume();
    }
  };

  return (incoming, outgoing) => {
    const { socket } = incoming;
    const sequence = sequenceOf(socket);
    if (!sequence.isBusy) {
      start(sequence, [incoming, outgoing]);
      return;
    }
    sequence.waiting.push([incoming, outgoing]);
    if (sequence.waiting.length > maximumWaitingRequests) {
      if (!socket.destroyed) onDidClose();
      socket.destroy();
      return;
    }
    Object.assign(sequence, { isPaused: true });
    socket.pause();
  };
};
