/**
 * State changes of runs that several systems share.
 */
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { RunState, type RunRow } from './jobTables.js';

/** Delay before a requeued run can be assigned again. */
const backoffMilliseconds = 40;

/** Maximum delay before a run that gets nothing but inconclusive answers is assigned again. */
const maximumBackoffMilliseconds = 1_000;

/** Delay before a run is assigned again; doubles with each inconclusive answer in a row. */
export const computeBackoff = (inconclusiveAnswers: number): Milliseconds =>
  Math.min(backoffMilliseconds * 2 ** inconclusiveAnswers, maximumBackoffMilliseconds);

/** Time for which new runs avoid an upstream on which a run broke, if another can run them. */
const avoidanceMilliseconds = 1_500;

/** Columns of a run that starts its text from the beginning. */
export const emptyTextColumns = {
  events: 0,
  text: '',
  versions: [],
  softwareVersion: null,
  savedEvents: 0,
  savedCharacters: 0,
  confirmations: 0,
} as const;

/** Detaches a run from its engine and lets it wait for another one; `columns` change with it. */
export const requeueRun = (
  world: World,
  run: RunRow,
  columns: Partial<Omit<RunRow, 'id'>>,
  now: Instant,
): void => {
  world.runs.change(run.id, {
    state: RunState.Waiting,
    upstream: null,
    backoffDeadline: deadlineAfter(now, computeBackoff(0)),
    continuationDeadline: never,
    ...columns,
  });
};

/** Lets new runs avoid the engine of a run for `duration` milliseconds, if another can run them. */
export const avoidUpstream = (
  world: World,
  run: RunRow,
  now: Instant,
  duration: Milliseconds = avoidanceMilliseconds,
): void => {
  const avoidDeadline = deadlineAfter(now, duration);
  if (run.upstream !== null) world.registrations.change(run.upstream, { avoidDeadline });
};

const softwareVersionOf = (world: World, { upstream }: RunRow): string | null =>
  (upstream === null ? undefined : world.registrations.get(upstream))?.softwareVersion ?? null;

/**
 * Appends an event about a run, with the current number of events in its text and the software
 * version that its engine last reported.
 */
export const recordRunEvent = (world: World, kind: EventKind, run: RunRow, reason: string): void =>
  world.events.append({
    kind,
    subject: {
      item: run.id,
      upstream: run.upstream,
      softwareVersion: softwareVersionOf(world, run),
      reason,
      events: run.events,
    },
  });
