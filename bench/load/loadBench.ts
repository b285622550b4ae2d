/**
 * What the decisions on jobs cost a leader at their worst load, and how long steps take.
 */
import { createFleetCore } from '../../standins/virtual/fleetCore.js';
import type { Measurement } from '../measurement.js';
import { replayJobLoad } from './jobLoad.js';

const seeds = [1, 2, 3];
const engines = 20;
/** Slots of each engine: as declared, and where others hold half of them. */
const slotCounts = [6, 3];

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const idleTicks = 24_000;
const ticksOfSettling = 6;
const microsecondsPerMillisecond = 1_000;

/** Returns the time of a tick of a leader that has nothing to do. */
const measureIdleTick = (): Measurement => {
  const { settle } = createFleetCore();
  const settlings = idleTicks / ticksOfSettling;
  const run = (): void => Array.from({ length: settlings }).forEach(settle);
  run();
  const startedAt = performance.now();
  run();
  const value = ((performance.now() - startedAt) * microsecondsPerMillisecond) / idleTicks;
  return { name: 'load.idle.tick', value, unit: 'us' };
};

/** Replays steps of four trainers with enough slots, and with half of them. */
export const runLoadBench = (): Promise<readonly Measurement[]> =>
  Promise.resolve([
    measureIdleTick(),
    ...slotCounts.flatMap((slots) => {
      const results = seeds.map((seed) => replayJobLoad({ engines, slots, seed }));
      const name = (suffix: string): string => `load.jobs.${engines}x${slots}.${suffix}`;
      const steps = results.flatMap(({ stepMilliseconds }) => stepMilliseconds);
      return [
        {
          name: name('processor'),
          value: mean(results.map((result) => result.processorMillisecondsPerSecond)),
          unit: 'ms/s',
        },
        { name: name('step.mean'), value: mean(steps), unit: 'ms' },
        { name: name('step.most'), value: Math.max(...steps), unit: 'ms' },
      ];
    }),
  ]);
