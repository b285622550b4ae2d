/**
 * The cost of a tick: the same work with few and with many idle upstream rows, and with waiting rows.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { createRandom } from '../../src/base/common/random.js';
import { never } from '../../src/base/common/time.js';
import { silentMetrics } from '../../src/platform/metrics/common/metrics.js';
import { createCore, type Core } from '../../src/service/core/common/core.js';
import { AttemptState, RequestState } from '../../src/service/traffic/common/trafficTables.js';
import type { RequestId, ServiceName } from '../../src/service/world/common/identifiers.js';
import {
  createTestDeployment,
  createTestTree,
  digestOf,
} from '../../standins/virtual/testDeployment.js';
import type { Measurement } from '../measurement.js';

const fewUpstreams = 72;
const manyUpstreams = 7_200;
const requestsPerTick = 32;
const warmUpTicks = 300;
const measuredTicks = 1_500;
const repetitions = 7;
const longMilliseconds = 1e9;
const seed = 11;
const keyDigest = digestOf('key-one');

const createIdleCore = (upstreams: number): Core => {
  const deployment = createTestDeployment(1, 0);
  const core = createCore(
    {
      deployment,
      self: deployment.daemons[0]!,
      tree: createTestTree(),
      incarnation: 1,
      random: createRandom(seed),
      metrics: silentMetrics,
    },
    0,
  );
  for (let index = 0; index < upstreams; index += 1) {
    core.world.arrivedAnnouncements.append({
      isDirect: false,
      announcement: {
        upstream: `u${index}`,
        kind: 'engine',
        service: 'model',
        address: 'http://127.0.0.1:1',
        zone: `z${index % 3}`,
        incarnation: 1,
        state: 'serving',
        models: ['model'],
        adapters: [],
        weightVersion: 1,
        reclaimable: false,
        checksFencing: true,
        resumesStreams: false,
        slots: 8,
        running: 0,
        remaining: longMilliseconds,
      },
    });
  }
  return core;
};

const putRequest = ({ world }: Core, now: number): void => {
  world.requests.put({
    id: world.identifiers.next<RequestId>('request'),
    keyDigest,
    service: asBrand<ServiceName>('model'),
    estimatedTokens: 64,
    sample: null,
    madeFor: null,
    state: RequestState.Arrived,
    workspace: null,
    policy: null,
    arrivedAt: now,
    queueDeadline: never,
    requestDeadline: never,
    retentionDeadline: never,
    attemptCount: 0,
    mayHaveRun: false,
    answerStarted: false,
    refusal: null,
  });
};

/** One round of the same work: requests arrive, are dispatched and are answered. */
const runRound = (core: Core, now: number): void => {
  const { world, ticker } = core;
  for (let index = 0; index < requestsPerTick; index += 1) putRequest(core, now);
  ticker.tick(now);
  [...world.attempts.rows()]
    .filter((attempt) => attempt.state === AttemptState.Writing)
    .forEach((attempt) => world.attemptFacts.append({ kind: 'answerEnded', attempt: attempt.id }));
  ticker.tick(now);
  world.events.takeAll();
  world.outgoingMessages.takeAll();
};

/** Microseconds of a round at each size, the least of several repetitions taken in turn. */
const measureRounds = (sizes: readonly number[]): number[] => {
  const cores = sizes.map(createIdleCore);
  const clocks = sizes.map(() => 0);
  const best = sizes.map(() => Number.POSITIVE_INFINITY);
  const run = (position: number, ticks: number): number => {
    const start = performance.now();
    for (let tick = 0; tick < ticks; tick += 1) {
      clocks[position]! += 50;
      runRound(cores[position]!, clocks[position]!);
    }
    return ((performance.now() - start) * 1000) / ticks;
  };
  sizes.forEach((_, position) => run(position, warmUpTicks));
  for (let repetition = 0; repetition < repetitions; repetition += 1) {
    sizes.forEach((_, position) => {
      best[position] = Math.min(best[position]!, run(position, measuredTicks));
    });
  }
  return best;
};

/** Measures the cost of a tick over the number of idle rows. */
export const runTickBench = (): Promise<readonly Measurement[]> => {
  const [few, many] = measureRounds([fewUpstreams, manyUpstreams]);
  return Promise.resolve([
    { name: 'tick_round_few_upstreams', value: few!, unit: 'us' },
    { name: 'tick_round_many_upstreams', value: many!, unit: 'us' },
    { name: 'tick_idle_rows_ratio', value: many! / few!, unit: 'ratio' },
    { name: 'request_decision_cost', value: few! / requestsPerTick, unit: 'us' },
  ]);
};
