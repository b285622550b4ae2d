/**
 * The cost of a tick: the same work with few and with many idle upstream rows, and with waiting rows.
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
const repetitions = 7;

const createIdleCore = (upstreams: number): Core => {
  const core = createBenchCore(1);
  addUpstreams(core, upstreams);
  return core;
};

/** One round of the same work: requests arrive, are dispatched and are answered. */
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
