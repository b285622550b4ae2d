/**
 * Which events become log lines. Lines on single requests share a budget of bytes a second: while it runs
 * low, only a fixed share of the requests is logged, the same requests in every process, and when it is
 * used up none. Lines on changes of what the process believes are always written.
 */
import { hashText } from '../../../base/common/hash.js';
import type { Instant } from '../../../base/common/time.js';
import { EventKind, type RecordedEvent } from './eventKind.js';

/** Bytes a second for lines on requests: a hundredth of a link of 42 Mbit/s, the slowest of the users' sheets. */
export const budgetBytesPerSecond = 48 * 1024;

/** Bytes that may be saved up for bursts: eight seconds. */
const burstBytes = 8 * budgetBytesPerSecond;

/** Below this level only sampled requests are logged. */
const lowLevelBytes = burstBytes / 2;

/** One request in so many is sampled. */
const sampledOneIn = 16;

const millisecondsPerSecond = 1_000;

/** Kinds of events of which there may be several for each request. */
const requestKinds: ReadonlySet<EventKind> = new Set([
  EventKind.CallAdmitted,
  EventKind.CallAnswered,
  EventKind.CallCancelled,
  EventKind.CallRefused,
  EventKind.SendStarted,
  EventKind.SendEnded,
  EventKind.RunStarted,
  EventKind.RunNotTaken,
  EventKind.RunFailed,
  EventKind.RunBroken,
  EventKind.RunMoved,
  EventKind.RunSilent,
  EventKind.ScoringStarted,
  EventKind.ItemListed,
]);

const isSampled = ({ subject }: RecordedEvent): boolean =>
  hashText(String(subject.request ?? subject.item ?? '')) % sampledOneIn === 0;

/** The budget of one process. */
export interface EventBudget {
  /** Whether an event is written; `bytes` is the length of its line. */
  readonly admits: (event: RecordedEvent, bytes: number, now: Instant) => boolean;
  /** Events that were not written since this was last asked. */
  readonly takeDropped: () => number;
}

/** Creates a budget that is full. */
export const createEventBudget = (start: Instant): EventBudget => {
  let availableBytes = burstBytes;
  let refilledAt = start;
  let droppedCount = 0;

  const refill = (now: Instant): void => {
    const added = ((now - refilledAt) * budgetBytesPerSecond) / millisecondsPerSecond;
    availableBytes = Math.min(burstBytes, availableBytes + added);
    refilledAt = now;
  };

  const isWithinBudget = (event: RecordedEvent, bytes: number): boolean =>
    availableBytes >= bytes && (availableBytes >= lowLevelBytes || isSampled(event));

  return {
    admits: (event, bytes, now) => {
      if (!requestKinds.has(event.kind)) return true;
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
