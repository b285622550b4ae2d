/**
 * Tracks how fast each engine produces events, measured by the leader on the texts that it
 * receives. An engine that is much slower than the others of its service gets new items only if no
 * other engine has a free slot.
 */
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { RunRow } from './jobTables.js';

export interface EnginePaceRow {
  readonly id: UpstreamId;
  readonly service: string;
  /** Time between two events of a text, as an exponential moving average. */
  readonly millisecondsPerEvent: Milliseconds;
  /** Time at which the row is removed unless another sample arrives. */
  readonly retentionDeadline: Instant;
}

export const createPaceTables = () => ({
  enginePaces: createTable<EnginePaceRow, 'service', 'retention'>({
    name: 'enginePaces',
    indices: { service: (row) => row.service },
    deadlines: { retention: (row) => row.retentionDeadline },
  }),
});

/**
 * Weight of a sample in the average; an engine with eight texts yields about forty samples a
 * second.
 */
const sampleWeight = 0.15;

/**
 * Without samples for this time, an engine no longer counts as slow and is tried again. Slow
 * engines stay slow for several seconds.
 */
const retentionMilliseconds = 8_000;

/** An engine is slow if its time per event exceeds the median of its service by this factor. */
const slowFactor = 1.8;

/** Records one sample: the events of a run that arrived since its previous progress. */
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

/** Returns the engines of a service whose time per event exceeds the slow factor. */
export const findSlowEngines = (world: World, service: string): ReadonlySet<UpstreamId> => {
  const rows = world.enginePaces.where('service', service);
  if (rows.length === 0) return new Set();
  const median = medianOf(rows.map(({ millisecondsPerEvent }) => millisecondsPerEvent));
  const slowRows = rows.filter((row) => row.millisecondsPerEvent > slowFactor * median);
  return new Set(slowRows.map(({ id }) => id));
};
