/**
 * Measures the costs from which docs/CAPACITY.md computes the resources of each role at the design size:
 * bytes of memory for each row, bytes of each message between daemons, and processor time for each message.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { encodeFrame } from '../../src/infrastructure/wire/node/frames.js';
import { treeSchema, type Tree } from '../../src/service/configuration/common/tree.js';
import type { Core } from '../../src/service/core/common/core.js';
import type { Message } from '../../src/service/messages/common/message.js';
import type { DaemonId } from '../../src/service/world/common/identifiers.js';
import { createTestTree, digestOf } from '../../standins/virtual/testDeployment.js';
import type { Measurement } from '../measurement.js';
import { measureReachableBytes } from './heap.js';
import { addRequests, addUpstreams, createAnnouncement, createBenchCore } from './rows.js';
import { computeSlope } from './slope.js';

const upstreamSizes = [900, 1_800, 3_600, 7_200];
const daemonSizes = [100, 200, 400, 900];
const keySizes = [500, 1_000, 2_000, 4_000];
const requestSizes = [500, 1_000, 2_000, 4_000];
const microsecondsPerMillisecond = 1000;

/** Returns the bytes that the result of `build` retains; it stays reachable while it is measured. */
const measureRetainedBytes = (build: () => unknown): number => {
  const before = measureReachableBytes();
  const built = build();
  const after = measureReachableBytes();
  return built === undefined ? 0 : after - before;
};

const measureMemorySlope = (sizes: readonly number[], build: (size: number) => unknown): number => {
  build(sizes[0]!);
  return computeSlope(
    sizes.map((size) => ({ size, value: measureRetainedBytes(() => build(size)) })),
  );
};

const createTreeWithKeys = (count: number): Tree => {
  const tree = createTestTree();
  const keys = Object.fromEntries(
    Array.from({ length: count }, (_, index) => [`k${index}`, { digest: digestOf(`k${index}`) }]),
  );
  const workspaces = { ...tree.workspaces, one: { ...tree.workspaces.one, keys } };
  return treeSchema.parse({ ...tree, workspaces });
};

const createCoreWithUpstreams = (count: number): Core => {
  const core = createBenchCore(1);
  addUpstreams(core, count);
  return core;
};

const createCoreWithRequests = (count: number, upstreams: number): Core => {
  const core = createBenchCore(1);
  addUpstreams(core, upstreams);
  addRequests(core, count, 0);
  return core;
};

const computeFrameBytes = (message: Message): number =>
  encodeFrame({
    from: 'daemon-in-zone-1',
    stamp: { wall: 1.7e12, counter: 1 },
    message,
  })._unsafeUnwrap().length;

const heartbeat: Message = {
  kind: 'heartbeat',
  incarnation: 1.7e12,
  load: 57,
  leaving: false,
  revision: 1,
  isFresh: true,
};
const relayedAnnouncement: Message = {
  kind: 'upstreamAnnounced',
  announcement: createAnnouncement(1),
};

/** Measures the microseconds to handle one message, as the slope over several numbers of senders. */
const measureProcessorSlope = (message: (index: number) => Message): number => {
  const rounds = 20;
  const points = daemonSizes.map((size) => {
    const { world, ticker } = createBenchCore(size);
    const senderIds = [...world.daemons.rows()].map((row) => row.id);
    let now = 0;
    const runRound = (): void => {
      now += 1;
      senderIds.forEach((from, index) =>
        world.incomingMessages.append({ from: asBrand<DaemonId>(from), message: message(index) }),
      );
      ticker.tick(now);
      world.outgoingMessages.takeAll();
      world.events.takeAll();
    };
    runRound();
    const startedAt = performance.now();
    for (let round = 0; round < rounds; round += 1) runRound();
    const value = ((performance.now() - startedAt) * microsecondsPerMillisecond) / rounds;
    return { size, value };
  });
  return computeSlope(points);
};

/** Measures memory, message sizes and processor time at the capacity sizes. */
export const runCapacityBench = (): Promise<readonly Measurement[]> =>
  Promise.resolve([
    {
      name: 'bytes_per_upstream',
      value: measureMemorySlope(upstreamSizes, createCoreWithUpstreams),
      unit: 'bytes',
    },
    {
      name: 'bytes_per_daemon',
      value: measureMemorySlope(daemonSizes, createBenchCore),
      unit: 'bytes',
    },
    {
      name: 'bytes_per_key',
      value: measureMemorySlope(keySizes, (size) => createBenchCore(1, createTreeWithKeys(size))),
      unit: 'bytes',
    },
    {
      name: 'bytes_per_waiting_request',
      value: measureMemorySlope(requestSizes, (size) => createCoreWithRequests(size, 0)),
      unit: 'bytes',
    },
    {
      name: 'bytes_per_running_request',
      value: measureMemorySlope(requestSizes, (size) => createCoreWithRequests(size, size)),
      unit: 'bytes',
    },
    { name: 'heartbeat_frame', value: computeFrameBytes(heartbeat), unit: 'bytes' },
    {
      name: 'relayed_announcement_frame',
      value: computeFrameBytes(relayedAnnouncement),
      unit: 'bytes',
    },
    { name: 'heartbeat_processor_time', value: measureProcessorSlope(() => heartbeat), unit: 'us' },
    {
      name: 'announcement_processor_time',
      value: measureProcessorSlope((index) => ({
        kind: 'upstreamAnnounced',
        announcement: createAnnouncement(index),
      })),
      unit: 'us',
    },
  ]);
