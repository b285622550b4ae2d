/**
 * Changes of runs that several systems make.
 */
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { RunState, type RunRow } from './jobTables.js';

/** Before an item whose run ended is offered again. */
const backoffMilliseconds = 40;

/** An upstream at which a run broke gets nothing new for this time where another one can run it. */
const avoidMilliseconds = 1_500;

/** Columns of a run whose text begins anew. */
export const emptyTextColumns = {
  events: 0,
  text: '',
  versions: [],
  savedEvents: 0,
  savedCharacters: 0,
} as const;

/** Takes a run from its engine; it waits for another one. */
export const requeueRun = (
  world: World,
  run: RunRow,
  columns: Partial<Omit<RunRow, 'id'>>,
  now: Instant,
): void => {
  world.runs.change(run.id, {
    state: RunState.Waiting,
    upstream: null,
    backoffDeadline: deadlineAfter(now, backoffMilliseconds),
    ...columns,
  });
};

/** Gives the engine of a run nothing new for a while, where another one can run it. */
export const avoidUpstream = (
  world: World,
  run: RunRow,
  now: Instant,
  duration: Milliseconds = avoidMilliseconds,
): void => {
  const avoidDeadline = deadlineAfter(now, duration);
  if (run.upstream !== null) world.registrations.change(run.upstream, { avoidDeadline });
};

/** Records what became of a run, with the events that its text has by then. */
export const recordRunEvent = (world: World, kind: EventKind, run: RunRow, reason: string): void =>
  world.events.append({
    kind,
    subject: { item: run.id, upstream: run.upstream, reason, events: run.events },
  });
