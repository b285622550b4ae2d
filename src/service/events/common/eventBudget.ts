/**
 * Decides which events are written to the log. Events of single requests share a budget in bytes
 * per second. While the budget is low, only a fixed sample of the requests is logged, the same in
 * every process; when it is exhausted, none are logged. Kinds that a metric counts and that a loop
 * may repeat are written at intervals. All other events, such as leader changes, are always written.
 */
import { hashText } from '../../../base/common/hash.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { EventKind, type RecordedEvent } from './eventKind.js';

/** Bytes per second for request events: 1% of 42 Mbit/s, the slowest link in the requirements. */
export const budgetBytesPerSecond = 48 * 1024;

/** Maximum burst size in bytes: the budget of eight seconds. */
const burstBytes = 8 * budgetBytesPerSecond;

/** Below this level, only sampled requests are logged. */
const lowLevelBytes = burstBytes / 2;

/** One in this many requests is sampled. */
const sampledOneIn = 16;

const millisecondsPerSecond = 1_000;

/** Event kinds that occur for single requests or items and are subject to the budget. */
const requestKinds: ReadonlySet<EventKind> = new Set([
  EventKind.CallAdmitted,
  EventKind.CallAnswered,
  EventKind.CallCancelled,
  EventKind.CallRefused,
  EventKind.StreamLocated,
  EventKind.SendStarted,
  EventKind.SendEnded,
  EventKind.CrashSuspected,
  EventKind.RunStarted,
  EventKind.RunNotStarted,
  EventKind.RunFailed,
  EventKind.RunBroken,
  EventKind.RunMoved,
  EventKind.RunTimedOut,
  EventKind.TextDiscarded,
  EventKind.TextHeld,
  EventKind.ScoringStarted,
  EventKind.ItemListed,
]);

/**
 * Shortest interval between two lines of a kind, for kinds whose events a metric counts one by one: a
 * log that is compacted for each 2 MiB, and a snapshot that is offered again with each renewal.
 */
const intervalsByKind: Readonly<Partial<Record<EventKind, Milliseconds>>> = {
  [EventKind.SnapshotTaken]: 1_000,
  [EventKind.SnapshotRefused]: 5_000,
};

const isSampled = ({ subject }: RecordedEvent): boolean =>
  hashText(String(subject.request ?? subject.item ?? '')) % sampledOneIn === 0;

/** The log budget of one process. */
export interface EventBudget {
  /** Returns whether an event is written, and consumes budget if so; `bytes` is its line length. */
  readonly admits: (event: RecordedEvent, bytes: number, now: Instant) => boolean;
  /** Returns the number of events dropped since the last call. */
  readonly takeDropped: () => number;
}

/** Creates a full budget; `start` is the current time. */
export const createEventBudget = (start: Instant): EventBudget => {
  let availableBytes = burstBytes;
  let refilledAt = start;
  let droppedCount = 0;
  const quietDeadlines = new Map<EventKind, Instant>();

  const refill = (now: Instant): void => {
    const added = ((now - refilledAt) * budgetBytesPerSecond) / millisecondsPerSecond;
    availableBytes = Math.min(burstBytes, availableBytes + added);
    refilledAt = now;
  };

  const isWithinBudget = (event: RecordedEvent, bytes: number): boolean =>
    availableBytes >= bytes && (availableBytes >= lowLevelBytes || isSampled(event));

  const isIntervalOver = (kind: EventKind, now: Instant): boolean => {
    const interval = intervalsByKind[kind];
    if (interval === undefined) return true;
    if (now < (quietDeadlines.get(kind) ?? Number.NEGATIVE_INFINITY)) return false;
    quietDeadlines.set(kind, deadlineAfter(now, interval));
    return true;
  };

  return {
    admits: (event, bytes, now) => {
      if (!requestKinds.has(event.kind)) return isIntervalOver(event.kind, now);
      refill(now);
      const isAdmitted = isWithinBudget(event, bytes);
      if (isAdmitted) availableBytes -= bytes;
      else droppedCount += 1;
      return isAdmitted;
    },
    takeDropped: () => {
      const count = droppedCount;
      droppedCount = 0;
      return count;
    },
  };
};
