/**
 * The send buffer between two daemons: what the log may have under way fits it twice, and a message
 * that no receiver would read is not sent.
 */
import { setTimeout as delay } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { MetricTags } from '../../../../infrastructure/metrics/common/metrics.js';
import { noopMetrics } from '../../../../infrastructure/metrics/common/metrics.js';
import { createHybridLogicalClock } from '../../../../infrastructure/timeline/common/hybridLogicalClock.js';
import {
  maximumBatchBytes,
  maximumFrameBytes,
  maximumUnacknowledgedBytes,
} from '../../../../infrastructure/wire/common/frameLimits.js';
import { EventKind } from '../../../../service/events/common/eventKind.js';
import type { Message } from '../../../../service/messages/common/message.js';
import type { DaemonId } from '../../../../service/world/common/identifiers.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { openPeerPort } from '../../node/peerPort.js';

const receiverId = asBrand<DaemonId>('d9');
const limitMilliseconds = 10_000;
const stepMilliseconds = 10;

const openPort = async (t: ExecutionContext) => {
  const core = createFleetCore();
  const counts = new Map<string, number>();
  const count = (name: string, amount = 1, _tags?: MetricTags): void => {
    counts.set(name, (counts.get(name) ?? 0) + amount);
  };
  const world = {
    ...core.world,
    metrics: { ...noopMetrics, count },
    self: { ...core.world.self, peerAddress: '127.0.0.1:0' },
  };
  const clock = createHybridLogicalClock(() => 0);
  const port = (await openPeerPort(world, clock, () => {}))._unsafeUnwrap();
  t.teardown(() => port.dispose());
  return { world, counts, port };
};

const openPair = async (t: ExecutionContext) => {
  const [sender, receiver] = await Promise.all([openPort(t), openPort(t)]);
  const [self] = [...sender.world.daemons.rows()];
  sender.world.daemons.put({
    ...self!,
    id: receiverId,
    isSelf: false,
    peerAddress: receiver.port.address,
  });
  return { sender, receiver };
};

const messageOf = (bytes: number): Message => ({
  kind: 'bodyOffered',
  body: 'b',
  lot: 'l',
  content: 'x'.repeat(bytes),
});

test('twice the bytes that the log may have under way are sent at once, and none is dropped', async (t) => {
  const { sender, receiver } = await openPair(t);
  const messages = (2 * maximumUnacknowledgedBytes) / maximumBatchBytes;
  for (let sent = 0; sent < messages; sent += 1) {
    sender.world.outgoingMessages.append({ to: receiverId, message: messageOf(maximumBatchBytes) });
  }
  sender.port.drain();
  const received: unknown[] = [];
  for (let waited = 0; waited < limitMilliseconds; waited += stepMilliseconds) {
    received.push(...receiver.world.incomingMessages.takeAll());
    if (received.length === messages) break;
    await delay(stepMilliseconds);
  }
  t.is(received.length, messages);
  t.is(sender.counts.get('peers.droppedMessages'), undefined);
});

test('a message over the frame limit is not sent, and is logged and counted', async (t) => {
  const { sender, receiver } = await openPair(t);
  sender.world.events.takeAll();
  sender.world.outgoingMessages.append({ to: receiverId, message: messageOf(maximumFrameBytes) });
  sender.world.outgoingMessages.append({ to: receiverId, message: messageOf(1) });
  sender.port.drain();
  const received: unknown[] = [];
  for (let waited = 0; waited < limitMilliseconds && received.length === 0; waited += 10) {
    received.push(...receiver.world.incomingMessages.takeAll());
    await delay(stepMilliseconds);
  }
  t.is(received.length, 1);
  t.is(sender.counts.get('peers.refusedFrames'), 1);
  t.deepEqual(
    sender.world.events.takeAll().map(({ kind, subject }) => [kind, subject.messageKind]),
    [[EventKind.FrameRefused, 'bodyOffered']],
  );
});
