/**
 * Reports evacuations and their withdrawals in the tick in which they take effect, whether they came
 * as log entries or with a snapshot. It runs before the systems that select upstreams.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { markZoneCold } from './coldState.js';
import type { EvacuationRow, ZoneId } from './evacuationTables.js';

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
  /** The state of each zone that was handled last; a row also changes without another state. */
  const handled = new Map<ZoneId, boolean>();

  const handleChange = (row: EvacuationRow, now: Instant): void => {
    const previous = handled.get(row.id);
    if (row.isInForce === previous) return;
    handled.set(row.id, row.isInForce);
    if (row.isInForce) handleEvacuated(world, row);
    // A process that starts may find a withdrawal of long ago, or of a moment ago.
    else if (previous === undefined) markZoneCold(world, row.id, now);
    else handleRestored(world, row, now);
  };

  return {
    name: 'evacuation',
    run: (now) =>
      changes
        .take()
        .map((id) => world.evacuations.get(id))
        .filter((row) => row !== undefined)
        .forEach((row) => handleChange(row, now)),
  };
};
