/**
 * Writes the events that systems record as log lines.
 */
import type { Log } from '../../../infrastructure/log/node/log.js';
import type { World } from '../../../service/world/common/world.js';

/** The port; `drain` is run after each tick. */
export interface EventLog {
  readonly drain: () => void;
}

/** Creates the port. */
export const createEventLog = (world: World, log: Log): EventLog => ({
  drain: () =>
    world.events.takeAll().forEach(({ kind, subject }) => log.info({ event: kind, ...subject })),
});
