/**
 * Adds a timestamp to each event that systems have recorded and passes the events to the event file
 * of the process.
 */
import type { HybridLogicalClock } from '../../../infrastructure/timeline/common/hybridLogicalClock.js';
import type { TimelineEvent } from '../../../infrastructure/timeline/common/timelineEvent.js';
import type { World } from '../../../service/world/common/world.js';

/** Writes recorded events; `drain` runs after each tick. */
export interface EventPort {
  readonly drain: () => void;
}

/** Creates the port; `write` is called once per event, in order. */
export const createEventPort = (
  world: World,
  hybridClock: HybridLogicalClock,
  write: (event: TimelineEvent) => void,
): EventPort => ({
  drain: () =>
    world.events
      .takeAll()
      .forEach(({ kind, subject }) =>
        write({ stamp: hybridClock.next(), process: world.self.name, kind, subject }),
      ),
});
