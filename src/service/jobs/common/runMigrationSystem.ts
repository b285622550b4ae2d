/**
 * Moves runs from slow engines to free ones that are not slow. Reading the text so far again costs far
 * less than waiting for a slow engine. A run moves only where a place is free for it at that moment.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../consensus/common/replicaTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { isSingleVersion } from './allowedVersions.js';
import { freeSlots, servesVersion } from './engineChoice.js';
import { slowEngines } from './enginePace.js';
import { RunState, type JobRow, type RunRow } from './jobTables.js';
import { avoidUpstream, recordRun, stopRunning } from './runChanges.js';

interface Place {
  readonly engine: RegistrationRow;
  free: number;
}

const placesOf = (
  world: World,
  service: string,
  slow: ReadonlySet<string>,
  now: Instant,
): Place[] =>
  world.registrations
    .where('service', service)
    .filter(({ id, avoidDeadline }) => !slow.has(id) && avoidDeadline <= now)
    .map((engine) => ({ engine, free: freeSlots(world, engine) }));

const takePlace = (
  world: World,
  places: readonly Place[],
  job: JobRow,
  now: Instant,
): Place | undefined =>
  places.find(({ engine, free }) => free > 0 && servesVersion(world, engine, job, now));

const moveRun = (world: World, run: RunRow, places: readonly Place[], now: Instant): void => {
  const job = world.jobs.get(run.job);
  if (job === undefined || isSingleVersion(world, job)) return;
  const place = takePlace(world, places, job, now);
  if (place === undefined) return;
  place.free -= 1;
  recordRun(world, EventKind.RunMoved, run, 'slow engine');
  avoidUpstream(world, run, now);
  stopRunning(world, run, { backoffDeadline: now }, now);
};

const moveFromSlow = (world: World, service: string, now: Instant): void => {
  const slow = slowEngines(world, service);
  if (slow.size === 0) return;
  const places = placesOf(world, service, slow, now);
  [...slow]
    .flatMap((engine) => world.runs.where('upstream', engine))
    .forEach((run) => moveRun(world, run, places, now));
};

/** Creates the system that moves runs; waiting runs have had their turn before it. */
export const createMoveSystem = (world: World): System => {
  const changes = [world.enginePaces.createChangeReader(), world.runs.createChangeReader()];
  return {
    name: 'move',
    run: (now) => {
      world.enginePaces.takeDue('retention', now).forEach(({ id }) => world.enginePaces.remove(id));
      const hasChanges = changes.map((reader) => reader.take().length > 0).includes(true);
      if (!hasChanges || !isCurrentLeader(replicaOf(world), now)) return;
      if (world.runs.count('state', RunState.Waiting) > 0) return;
      [...world.enginePaces.values('service')].forEach((service) =>
        moveFromSlow(world, service, now),
      );
    },
  };
};
