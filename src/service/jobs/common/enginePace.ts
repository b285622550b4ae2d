/**
 * How fast engines make events, as the leader sees it in the texts that come. An engine that is much
 * slower than the others of its service gets new items only where no other is free.
 */
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { RunRow } from './jobTables.js';

export interface EnginePaceRow {
  readonly id: UpstreamId;
  readonly service: string;
  /** Time from one event of a text to the next, as a moving average. */
  readonly millisecondsPerEvent: Milliseconds;
  /** Until when it counts without a new sample. */
  readonly retentionDeadline: Instant;
}

export const createPaceTables = () => ({
  enginePaces: createTable<EnginePaceRow, 'service', 'retention'>({
    name: 'enginePaces',
    indices: { service: (row) => row.service },
    deadlines: { retention: (row) => row.retentionDeadline },
  }),
});

/** Weight of a sample; an engine with eight texts gives about forty samples a second. */
const sampleWeight = 0.15;

/** After this time without texts an engine is tried again; slow ones stay slow for several seconds. */
const retentionMilliseconds = 8_000;

/** An engine is slow that takes so many times as long as the median of its service. */
const slowFactor = 1.8;

/** Takes one sample: events that came in the time since the last ones of the same run. */
export const recordEnginePace = (world: World, run: RunRow, events: number, now: Instant): void => {
  const engine = run.upstream === null ? undefined : world.registrations.get(run.upstream);
  if (engine === undefined || events === 0 || !Number.isFinite(run.lastProgressAt)) return;
  const sample = (now - run.lastProgressAt) / events;
  const previous = world.enginePaces.get(engine.id)?.millisecondsPerEvent ?? sample;
  world.enginePaces.put({
    id: engine.id,
    service: engine.service,
    millisecondsPerEvent: previous + (sample - previous) * sampleWeight,
    retentionDeadline: deadlineAfter(now, retentionMilliseconds),
  });
};

const medianOf = (values: readonly number[]): number =>
  [...values].sort((first, second) => first - second)[Math.floor((values.length - 1) / 2)]!;

/** Engines of a service that are much slower than the others. */
export const findSlowEngines = (world: World, service: string): ReadonlySet<UpstreamId> => {
  const rows = world.enginePaces.where('service', service);
  if (rows.length === 0) return new Set();
  const median = medianOf(rows.map(({ millisecondsPerEvent }) => millisecondsPerEvent));
  const slowRows = rows.filter((row) => row.millisecondsPerEvent > slowFactor * median);
  return new Set(slowRows.map(({ id }) => id));
};
