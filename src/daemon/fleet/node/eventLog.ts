/**
 * Writes the events that systems record as log lines, within the budget of lines.
 */
import type { Clock, Instant } from '../../../base/common/time.js';
import type { Log } from '../../../infrastructure/log/node/log.js';
import { createEventBudget } from '../../../service/events/common/eventBudget.js';
import { EventKind, type RecordedEvent } from '../../../service/events/common/eventKind.js';
import type { World } from '../../../service/world/common/world.js';

/** The port; `drain` is run after each tick. */
export interface EventLog {
  readonly drain: () => void;
}

/** How often it is said how many lines were left out. */
const dropReportMilliseconds = 5_000;

/** What a line has besides the subject of its event: level, time, process and quotes. */
const envelopeBytes = 90;

/** Creates the port. `takeQueueDropped` counts lines that found the queue of the log full. */
export const createEventLog = (
  world: World,
  log: Log,
  clock: Clock,
  takeQueueFullCount: () => number,
): EventLog => {
  const budget = createEventBudget(clock());
  let reportedAt: Instant = clock();

  const write = (event: RecordedEvent, now: Instant): void => {
    const line = { event: event.kind, ...event.subject };
    const bytes = envelopeBytes + JSON.stringify(line).length;
    if (budget.admits(event, bytes, now)) log.info(line);
  };

  const reportDropped = (now: Instant): void => {
    reportedAt = now;
    const overBudgetCount = budget.takeDropped();
    const queueFullCount = takeQueueFullCount();
    if (overBudgetCount + queueFullCount === 0) return;
    world.metrics.count('log.linesDropped', overBudgetCount, { reason: 'budget' });
    world.metrics.count('log.linesDropped', queueFullCount, { reason: 'queueFull' });
    log.warn({
      event: EventKind.LinesDropped,
      overBudget: overBudgetCount,
      queueFull: queueFullCount,
    });
  };

  return {
    drain: () => {
      const now = clock();
      world.events.takeAll().forEach((event) => write(event, now));
      if (now - reportedAt >= dropReportMilliseconds) reportDropped(now);
    },
  };
};
