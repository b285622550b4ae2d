/**
 * The port between daemons: one listening socket, and one connection to each daemon that messages are
 * sent to. Connections are made when there is something to send, so heartbeats also renew them.
 */
import { createServer, connect, type Socket } from 'node:net';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { asBrand } from '../../../base/common/brand.js';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import { deadlineAfter, never, type Clock, type Milliseconds } from '../../../base/common/time.js';
import { monotonicClock } from '../../../base/node/monotonicClock.js';
import { splitAddress } from '../../../infrastructure/settings/common/address.js';
import { listen, type ListenError } from '../../../infrastructure/sockets/node/listen.js';
import type { HybridLogicalClock } from '../../../infrastructure/timeline/common/hybridLogicalClock.js';
import { stampSchema } from '../../../infrastructure/timeline/common/timelineEvent.js';
import { createFrameDecoder, encodeFrame } from '../../../infrastructure/wire/node/frames.js';
import { messageSchema, type OutgoingMessage } from '../../../service/messages/common/message.js';
import type { DaemonId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';

/** The port; `drain` is run after each tick. */
export interface PeerPort extends AsyncDisposable {
  /** `host:port` on which it listens. */
  readonly address: string;
  readonly drain: () => void;
  readonly sentBytes: () => number;
  readonly receivedBytes: () => number;
}

/** What a frame between daemons holds. */
const envelopeSchema = z.object({
  from: z.string().min(1),
  stamp: stampSchema,
  message: messageSchema,
});

/** Bytes that may wait for one peer; messages beyond are dropped and counted. */
const maximumWaitingBytes = 1024 * 1024;

interface PeerConnection {
  readonly send: (frame: Buffer) => void;
  /** Whether what was sent has not been acknowledged for too long. */
  readonly isSilent: () => boolean;
  readonly dispose: () => void;
}

/** A receiver acknowledges what has come with one byte, at most this often. */
const acknowledgementMilliseconds: Milliseconds = 100;
const acknowledgement = Buffer.from([0]);

/** A connection on which nothing was acknowledged for so long has fallen silent, and is made anew. */
const silenceMilliseconds: Milliseconds = 1_500;

const openConnection = (address: string, clock: Clock, onDidClose: () => void): PeerConnection => {
  const { host, port } = splitAddress(address);
  const socket = connect({ host, port, noDelay: true });
  let silenceDeadline = never;
  socket.on('error', () => {});
  socket.on('close', onDidClose);
  socket.on('data', () => {
    silenceDeadline = never;
  });
  return {
    send: (frame) => {
      if (socket.writableLength <= maximumWaitingBytes) socket.write(frame);
      silenceDeadline = Math.min(silenceDeadline, deadlineAfter(clock(), silenceMilliseconds));
    },
    isSilent: () => clock() >= silenceDeadline,
    dispose: () => socket.destroy(),
  };
};

/** Creates what acknowledges the bytes of one accepted connection. */
const createAcknowledger = (socket: Socket, clock: Clock): (() => void) => {
  let nextAt = 0;
  return () => {
    if (clock() < nextAt || !socket.writable) return;
    nextAt = deadlineAfter(clock(), acknowledgementMilliseconds);
    socket.write(acknowledgement);
  };
};

/** Opens the port on the address of the settings. */
export const openPeerPort = async (
  world: World,
  stamps: HybridLogicalClock,
  wake: () => void,
  clock: Clock = monotonicClock,
): Promise<Result<PeerPort, ListenError>> => {
  const connections = new Map<DaemonId, PeerConnection>();
  const accepted = new Set<Socket>();
  let sentBytes = 0;
  let receivedBytes = 0;

  const takeValue = (value: unknown): void => {
    const envelope = envelopeSchema.safeParse(value);
    if (!envelope.success) {
      world.metrics.count('peers.invalidMessages');
      return;
    }
    const { from, stamp, message } = envelope.data;
    stamps.observe(stamp);
    world.incomingMessages.append({ from: asBrand(from), message });
    wake();
  };

  const accept = (socket: Socket): void => {
    const decoder = createFrameDecoder();
    const acknowledge = createAcknowledger(socket, clock);
    accepted.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => accepted.delete(socket));
    socket.on('data', (bytes: Buffer) => {
      receivedBytes += bytes.length;
      acknowledge();
      decoder.push(bytes).match(
        (values) => values.forEach(takeValue),
        () => {
          world.metrics.count('peers.invalidFrames');
          socket.destroy();
        },
      );
    });
  };

  const connectionTo = (daemon: DaemonId): PeerConnection | undefined => {
    const address = world.daemons.get(daemon)?.peerAddress;
    if (address === undefined) return undefined;
    const existing = connections.get(daemon);
    if (existing?.isSilent() === false) return existing;
    existing?.dispose();
    const created = openConnection(address, clock, () => {
      if (connections.get(daemon) === created) connections.delete(daemon);
    });
    connections.set(daemon, created);
    return created;
  };

  const send = ({ to, message }: OutgoingMessage): void => {
    const frame = encodeFrame({ from: world.self.name, stamp: stamps.next(), message });
    sentBytes += frame.length;
    connectionTo(to)?.send(frame);
  };

  const server = createServer(accept);
  const bound = await listen(server, world.self.peerAddress);

  return bound.map((address) => ({
    address,
    drain: () => world.outgoingMessages.takeAll().forEach(send),
    sentBytes: () => sentBytes,
    receivedBytes: () => receivedBytes,
    dispose: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        accepted.forEach((socket) => socket.destroy());
        connections.forEach((connection) => connection.dispose());
      }),
  }));
};
