/**
 * Reports evacuations and their withdrawals in the tick in which they take effect, whether they came
 * as log entries or with a snapshot. It runs before the systems that select upstreams.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { markZoneCold } from './coldState.js';
import type { EvacuationRow } from './evacuationTables.js';

const handleEvacuated = (world: World, { id, at, index }: EvacuationRow): void =>
  world.events.append({
    kind: EventKind.ZoneEvacuated,
    subject: { zone: id, since: at, index },
  });

const handleRestored = (world: World, { id, index }: EvacuationRow, now: Instant): void => {
  // Its upstreams may have become cold without requests.
  markZoneCold(world, id, now);
  world.events.append({ kind: EventKind.ZoneRestored, subject: { zone: id, index } });
};

/** Creates the system that reports evacuations. */
export const createEvacuationSystem = (world: World): System => {
  const changes = world.evacuations.createChangeReader();
  return {
    name: 'evacuation',
    run: (now) =>
      changes
        .take()
        .map((id) => world.evacuations.get(id))
        .filter((row) => row !== undefined)
        .forEach((row) =>
          row.isInForce ? handleEvacuated(world, row) : handleRestored(world, row, now),
        ),
  };
};
