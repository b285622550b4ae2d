/**
 * Moves runs from slow engines to faster ones that have free slots. Processing the prompt and the
 * text so far a second time costs far less than waiting for a slow engine. A run moves only if a
 * slot on another engine of its software version is free for it at that moment.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import { isPlaceAllowed } from '../../places/common/eligibility.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { isSingleVersion } from './allowedVersions.js';
import { freeSlotsOf, canServeVersion } from './engineChoice.js';
import { findSlowEngines } from './enginePace.js';
import { homesOfJob } from './jobHomes.js';
import { isRunnerOf } from './jobRunner.js';
import { RunState, type JobRow, type RunRow } from './jobTables.js';
import { avoidUpstream, recordRunEvent, requeueRun } from './runChanges.js';
import { canContinueText } from './textContinuation.js';

interface EngineCapacity {
  readonly engine: RegistrationRow;
  free: number;
}

const capacitiesOf = (
  world: World,
  service: string,
  slowEngineIds: ReadonlySet<string>,
  now: Instant,
): EngineCapacity[] =>
  world.registrations
    .where('service', service)
    .filter(({ id, avoidDeadline }) => !slowEngineIds.has(id) && avoidDeadline <= now)
    .map((engine) => ({ engine, free: freeSlotsOf(world, engine) }));

const findCapacity = (
  world: World,
  capacities: readonly EngineCapacity[],
  run: RunRow,
  job: JobRow,
  now: Instant,
): EngineCapacity | undefined => {
  const homes = homesOfJob(world, job);
  return capacities.find(
    ({ engine, free }) =>
      free > 0 &&
      isPlaceAllowed(world, engine, homes) &&
      canContinueText(run, engine) &&
      canServeVersion(world, engine, job, now),
  );
};

const migrateRun = (
  world: World,
  run: RunRow,
  capacities: readonly EngineCapacity[],
  now: Instant,
): void => {
  const job = world.jobs.get(run.job);
  if (job === undefined || !isRunnerOf(world, job, now) || isSingleVersion(world, job)) return;
  const capacity = findCapacity(world, capacities, run, job, now);
  if (capacity === undefined) return;
  capacity.free -= 1;
  recordRunEvent(world, EventKind.RunMoved, run, 'slow engine');
  avoidUpstream(world, run, now);
  requeueRun(world, run, { backoffDeadline: now }, now);
};

const migrateFromSlowEngines = (world: World, service: string, now: Instant): void => {
  const slowEngineIds = findSlowEngines(world, service);
  if (slowEngineIds.size === 0) return;
  const capacities = capacitiesOf(world, service, slowEngineIds, now);
  [...slowEngineIds]
    .flatMap((engine) => world.runs.where('upstream', engine))
    .forEach((run) => migrateRun(world, run, capacities, now));
};

/**
 * Creates the system that moves runs off slow engines; it does nothing while runs wait for a slot.
 */
export const createRunMigrationSystem = (world: World): System => {
  const changeReaders = [world.enginePaces.createChangeReader(), world.runs.createChangeReader()];
  return {
    name: 'move',
    run: (now) => {
      world.enginePaces.takeDue('retention', now).forEach(({ id }) => world.enginePaces.remove(id));
      const hasChanges = changeReaders.map((reader) => reader.take().length > 0).includes(true);
      if (!hasChanges) return;
      if (world.runs.count('state', RunState.Waiting) > 0) return;
      [...world.enginePaces.values('service')].forEach((service) =>
        migrateFromSlowEngines(world, service, now),
      );
    },
  };
};
