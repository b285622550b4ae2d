/**
 * Writes the events that systems record as log lines, up to the line budget. Lines that are dropped
 * are counted and reported as metrics and as a log line.
 */
import type { Clock, Instant } from '../../../base/common/time.js';
import type { Log } from '../../../infrastructure/log/node/log.js';
import { createEventBudget } from '../../../service/events/common/eventBudget.js';
import { EventKind, type RecordedEvent } from '../../../service/events/common/eventKind.js';
import { levelOf } from '../../../service/events/common/eventLevel.js';
import type { World } from '../../../service/world/common/world.js';

/** Writes recorded events; `drain` runs after each tick. */
export interface EventLog {
  readonly drain: () => void;
}

/** Minimum interval between two reports of dropped lines. */
const dropReportMilliseconds = 5_000;

/** Estimated bytes of a line in addition to its event: level, time, process and quotes. */
const envelopeBytes = 90;

/**
 * Creates the event log. `takeQueueFullCount` returns the number of lines dropped because the log
 * queue was full, and resets it.
 */
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
    if (budget.admits(event, bytes, now)) log[levelOf(event.kind)](line);
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
