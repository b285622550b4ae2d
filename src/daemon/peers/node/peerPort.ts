/**
 * Port between daemons: one listening socket, and one connection to each daemon that messages are
 * sent to. Connections are opened when a message is sent, so heartbeats also reopen lost
 * connections.
 */
import { createServer, connect, type Socket } from 'node:net';
import { Result } from 'neverthrow';
import * as z from 'zod';
import { asBrand } from '../../../base/common/brand.js';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import { deadlineAfter, never, type Clock, type Milliseconds } from '../../../base/common/time.js';
import { recordReceivedBytes, releaseBuffer } from '../../../base/node/garbage.js';
import { monotonicClock } from '../../../base/node/monotonicClock.js';
import { splitAddress } from '../../../infrastructure/settings/common/address.js';
import { listen, type ListenError } from '../../../infrastructure/sockets/node/listen.js';
import type { HybridLogicalClock } from '../../../infrastructure/timeline/common/hybridLogicalClock.js';
import {
  stampSchema,
  type EventSubject,
} from '../../../infrastructure/timeline/common/timelineEvent.js';
import { maximumBufferedBytes } from '../../../infrastructure/wire/common/frameLimits.js';
import {
  createFrameDecoder,
  encodeFrame,
  type FrameDecoder,
  type FrameError,
} from '../../../infrastructure/wire/node/frames.js';
import {
  createBodyMemory,
  type BodyMemory,
  type BodyShare,
} from '../../../service/admission/common/bodyMemory.js';
import {
  ConnectionState,
  createConnectionTable,
} from '../../../service/admission/common/connectionTable.js';
import { EventKind } from '../../../service/events/common/eventKind.js';
import { messageSchema, type OutgoingMessage } from '../../../service/messages/common/message.js';
import type { DaemonId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import { createConnectionGuard } from '../../connections/node/connectionGuard.js';

/** Sends and receives messages between daemons; `drain` runs after each tick. */
export interface PeerPort extends AsyncDisposable {
  /** `host:port` on which the port listens. */
  readonly address: string;
  readonly drain: () => void;
  readonly sentBytes: () => number;
  readonly receivedBytes: () => number;
}

/** Content of a frame between daemons. */
const envelopeSchema = z.object({
  from: z.string().min(1),
  stamp: stampSchema,
  message: messageSchema,
});

interface PeerConnection {
  /** Sends a frame; returns false if too many bytes are buffered, so that it is dropped. */
  readonly send: (frame: Buffer) => boolean;
  /** Whether sent data has not been acknowledged within the timeout. */
  readonly hasTimedOut: () => boolean;
  readonly dispose: () => void;
}

/** A receiver acknowledges received data with one byte, at most once per interval. */
const acknowledgementIntervalMilliseconds: Milliseconds = 100;
const acknowledgement = Buffer.from([0]);

/** If sent data is not acknowledged in this time, the next send opens a new connection. */
const acknowledgementTimeoutMilliseconds: Milliseconds = 1_500;

/** Connects to an address; fails at once if its port is not one, as a list of others may name it. */
const connectTo = Result.fromThrowable(
  (address: string): Socket => connect({ ...splitAddress(address), noDelay: true }),
  () => undefined,
);

const openConnection = (socket: Socket, clock: Clock, onDidClose: () => void): PeerConnection => {
  let acknowledgementDeadline = never;
  socket.on('error', () => {});
  socket.on('close', onDidClose);
  socket.on('data', () => {
    acknowledgementDeadline = never;
  });
  return {
    send: (frame) => {
      const hasRoom = socket.writableLength <= maximumBufferedBytes;
      if (hasRoom) socket.write(frame);
      acknowledgementDeadline = Math.min(
        acknowledgementDeadline,
        deadlineAfter(clock(), acknowledgementTimeoutMilliseconds),
      );
      return hasRoom;
    },
    hasTimedOut: () => clock() >= acknowledgementDeadline,
    dispose: () => socket.destroy(),
  };
};

/** Creates a function that acknowledges the data received on one accepted connection. */
const createAcknowledger = (socket: Socket, clock: Clock): (() => void) => {
  let nextAcknowledgementAt = 0;
  return () => {
    if (clock() < nextAcknowledgementAt || !socket.writable) return;
    nextAcknowledgementAt = deadlineAfter(clock(), acknowledgementIntervalMilliseconds);
    socket.write(acknowledgement);
  };
};

/** Records a frame that is not sent because it is too long, or that was received and not read. */
const recordRefusedFrame = (world: World, error: FrameError, subject: EventSubject): void => {
  world.metrics.count('peers.refusedFrames', 1, { reason: error.kind });
  world.events.append({
    kind: EventKind.FrameRefused,
    subject: { ...subject, reason: error.kind, detail: error.message },
  });
};

const noMemoryError: FrameError = {
  kind: 'noFrameMemory',
  message: 'Frames that have not arrived in full take all of their memory; raise its limit.',
};

/** Holds the incomplete frame of one connection against the memory for all of them. */
const createPendingFrame = (
  decoder: FrameDecoder,
  memory: BodyMemory,
  clock: Clock,
  onDidRefuse: () => void,
) => {
  let share: BodyShare | undefined;
  let heldBytes = 0;

  const release = (): void => {
    if (share !== undefined) releaseBuffer(heldBytes, share.release);
    share = undefined;
    heldBytes = 0;
  };

  return {
    release,
    /** Call it after a push, with the bytes that were pending before and those that were pushed. */
    update: (pushedBytes: number): void => {
      const pendingBytes = decoder.pendingBytes();
      if (pendingBytes < pushedBytes) release();
      const addedBytes = pendingBytes - heldBytes;
      if (addedBytes === 0) return;
      share ??= memory.open(onDidRefuse, clock());
      heldBytes = pendingBytes;
      if (!share.take(addedBytes, clock())) onDidRefuse();
    },
  };
};

/** Opens the port on the configured peer address. `wake` requests a tick. */
export const openPeerPort = async (
  world: World,
  hybridClock: HybridLogicalClock,
  wake: () => void,
  clock: Clock = monotonicClock,
): Promise<Result<PeerPort, ListenError>> => {
  const connections = new Map<DaemonId, PeerConnection>();
  const acceptedSockets = new Set<Socket>();
  let sentBytes = 0;
  let receivedBytes = 0;

  const handleEnvelope = (value: unknown): void => {
    const envelope = envelopeSchema.safeParse(value);
    if (!envelope.success) {
      world.metrics.count('peers.invalidMessages');
      return;
    }
    const { from, stamp, message } = envelope.data;
    hybridClock.observe(stamp);
    world.incomingMessages.append({ from: asBrand(from), message });
    wake();
  };

  const { maximumPeerConnections, maximumPendingFrameBytes } = world.deployment.limits;
  const frameMemory = createBodyMemory(maximumPendingFrameBytes);
  const guard = createConnectionGuard({
    table: createConnectionTable(maximumPeerConnections),
    clock,
    metrics: world.metrics,
    refuse: (socket) => socket.destroy(),
  });

  const handleConnection = (socket: Socket): void => {
    const decoder = createFrameDecoder();
    const acknowledge = createAcknowledger(socket, clock);
    const refuse = (error: FrameError): void => {
      recordRefusedFrame(world, error, { sender: socket.remoteAddress ?? null });
      socket.destroy();
    };
    const pending = createPendingFrame(decoder, frameMemory, clock, () => refuse(noMemoryError));
    acceptedSockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => {
      acceptedSockets.delete(socket);
      pending.release();
    });
    socket.on('data', (bytes: Buffer) => {
      receivedBytes += bytes.length;
      recordReceivedBytes(bytes.length);
      acknowledge();
      const pendingBytes = decoder.pendingBytes();
      decoder.push(bytes).match((values) => {
        if (values.length > 0) guard.recordState(socket, ConnectionState.Idle);
        values.forEach(handleEnvelope);
        pending.update(pendingBytes + bytes.length);
      }, refuse);
    });
  };

  const getOrOpenConnection = (daemon: DaemonId): PeerConnection | undefined => {
    const address = world.daemons.get(daemon)?.peerAddress;
    if (address === undefined) return undefined;
    const existing = connections.get(daemon);
    if (existing?.hasTimedOut() === false) return existing;
    existing?.dispose();
    const socket = connectTo(address);
    if (socket.isErr()) {
      world.metrics.count('peers.invalidAddresses');
      return undefined;
    }
    const connection = openConnection(socket.value, clock, () => {
      if (connections.get(daemon) === connection) connections.delete(daemon);
    });
    connections.set(daemon, connection);
    return connection;
  };

  const send = ({ to, message }: OutgoingMessage): void => {
    const frame = encodeFrame({ from: world.self.name, stamp: hybridClock.next(), message });
    if (frame.isErr()) {
      recordRefusedFrame(world, frame.error, { receiver: to, messageKind: message.kind });
      return;
    }
    sentBytes += frame.value.length;
    const isSent = getOrOpenConnection(to)?.send(frame.value);
    if (isSent === false) world.metrics.count('peers.droppedMessages', 1, { kind: message.kind });
  };

  const server = createServer(handleConnection);
  guard.attach(server);
  const listenResult = await listen(server, world.self.peerAddress);

  return listenResult.map((address) => ({
    address,
    drain: () => world.outgoingMessages.takeAll().forEach(send),
    sentBytes: () => sentBytes,
    receivedBytes: () => receivedBytes,
    dispose: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        acceptedSockets.forEach((socket) => socket.destroy());
        connections.forEach((connection) => connection.dispose());
      }),
  }));
};
