/**
 * Measures the cost of routing decisions for several numbers of upstreams, in real time.
 */
import { performance } from 'node:perf_hooks';
import type { Measurement } from '../measurement.js';
import { addRequests, addUpstreams, createBenchCore } from '../capacity/rows.js';

const upstreamCounts = [8, 80, 800, 7_200];
const requestsPerTick = 48;
const tickCount = 200;
const warmUpTickCount = 40;

/** Measures the microseconds from arrival to dispatch of one request, in ticks of 48 requests. */
const measureMicrosecondsPerRequest = (upstreams: number): number => {
  const core = createBenchCore(1);
  addUpstreams(core, upstreams);
  let elapsedMilliseconds = 0;
  for (let tick = 0; tick < warmUpTickCount + tickCount; tick += 1) {
    const now = tick * 10;
    const startedAt = performance.now();
    addRequests(core, requestsPerTick, now);
    if (tick >= warmUpTickCount) elapsedMilliseconds += performance.now() - startedAt;
    [...core.world.attempts.rows()].forEach(({ id }) =>
      core.world.attemptFacts.append({ kind: 'answerEnded', attempt: id }),
    );
    core.ticker.tick(now);
    core.ticker.tick(now + 5_000);
    core.world.events.takeAll();
    core.world.outgoingMessages.takeAll();
  }
  return (1_000 * elapsedMilliseconds) / (tickCount * requestsPerTick);
};

/** Measures admission, queueing, routing and dispatch of requests for each number of upstreams. */
export const measureRouteDecisions = (): readonly Measurement[] =>
  upstreamCounts.flatMap((count) => {
    const microseconds = measureMicrosecondsPerRequest(count);
    return [
      { name: `route_decision_cost_${count}_upstreams`, value: microseconds, unit: 'us' },
      {
        name: `route_decisions_per_second_${count}_upstreams`,
        value: 1_000_000 / microseconds,
        unit: '1/s',
      },
    ];
  });
