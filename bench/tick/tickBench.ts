/**
 * Measures the cost of a tick: the same requests with few and with many idle upstream rows.
 */
import type { Core } from '../../src/service/core/common/core.js';
import { AttemptState } from '../../src/service/traffic/common/trafficTables.js';
import { addRequests, addUpstreams, createBenchCore } from '../capacity/rows.js';
import type { Measurement } from '../measurement.js';

const fewUpstreams = 72;
const manyUpstreams = 7_200;
const requestsPerTick = 32;
const warmUpTicks = 300;
const measuredTicks = 1_500;
const repetitionCount = 7;

const createIdleCore = (upstreams: number): Core => {
  const core = createBenchCore(1);
  addUpstreams(core, upstreams);
  return core;
};

/** Runs one round of work: requests arrive, are dispatched and are answered. */
const runRound = (core: Core, now: number): void => {
  const { world, ticker } = core;
  addRequests(core, requestsPerTick, now);
  [...world.attempts.rows()]
    .filter((attempt) => attempt.state === AttemptState.Writing)
    .forEach((attempt) => world.attemptFacts.append({ kind: 'answerEnded', attempt: attempt.id }));
  ticker.tick(now);
  world.events.takeAll();
  world.outgoingMessages.takeAll();
};

/** Returns the microseconds of a round at each size, as the minimum of several alternating runs. */
const measureRounds = (sizes: readonly number[]): number[] => {
  const cores = sizes.map(createIdleCore);
  const currentTimes = sizes.map(() => 0);
  const minimumMicroseconds = sizes.map(() => Number.POSITIVE_INFINITY);
  const runTicks = (sizeIndex: number, ticks: number): number => {
    const startedAt = performance.now();
    for (let tick = 0; tick < ticks; tick += 1) {
      currentTimes[sizeIndex]! += 50;
      runRound(cores[sizeIndex]!, currentTimes[sizeIndex]!);
    }
    return ((performance.now() - startedAt) * 1000) / ticks;
  };
  sizes.forEach((_, sizeIndex) => runTicks(sizeIndex, warmUpTicks));
  for (let repetition = 0; repetition < repetitionCount; repetition += 1) {
    sizes.forEach((_, sizeIndex) => {
      minimumMicroseconds[sizeIndex] = Math.min(
        minimumMicroseconds[sizeIndex]!,
        runTicks(sizeIndex, measuredTicks),
      );
    });
  }
  return minimumMicroseconds;
};

/** Measures the cost of a round with few and with many idle upstream rows. */
export const runTickBench = (): Promise<readonly Measurement[]> => {
  const [few, many] = measureRounds([fewUpstreams, manyUpstreams]);
  return Promise.resolve([
    { name: 'tick_round_few_upstreams', value: few!, unit: 'us' },
    { name: 'tick_round_many_upstreams', value: many!, unit: 'us' },
    { name: 'tick_idle_rows_ratio', value: many! / few!, unit: 'ratio' },
    { name: 'request_decision_cost', value: few! / requestsPerTick, unit: 'us' },
  ]);
};
