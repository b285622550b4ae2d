/**
 * Handles the requests of a connection one after the other. A caller may send requests ahead of the
 * answers; without this, each of them would be decoded and run at once, and their number has no bound.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Milliseconds } from '../../../base/common/time.js';
import { ConnectionState } from '../../../service/admission/common/connectionTable.js';
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

/** What the sequences of a listener report to. */
export interface SequenceOptions {
  readonly onDidChangeState: (socket: Socket, state: ConnectionState) => void;
  /** A connection was closed because of too many requests ahead. */
  readonly onDidClose: () => void;
}

/**
 * Returns a listener that passes the requests of each connection on one after the other, and closes a
 * connection with too many of them.
 */
export const handleInSequence = (
  listener: RequestListener,
  { onDidChangeState, onDidClose }: SequenceOptions,
): RequestListener => {
  const sequences = new WeakMap<Socket, Sequence>();

  const sequenceOf = (socket: Socket): Sequence => {
    const existing = sequences.get(socket);
    if (existing !== undefined) return existing;
    const created: Sequence = { isBusy: false, isPaused: false, waiting: [] };
    sequences.set(socket, created);
    return created;
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
      if (outgoing.writableLength > 0) onDidChangeState(socket, ConnectionState.Unread);
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
