/**
 * Reruns and removes sample runs, and releases what belongs to them: the running request and the
 * copies of the text. Also derives the identifiers of texts.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { AttemptId, BodyId, SampleId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { removeCopies } from './bodyCopies.js';
import { RunState, type SampleRunRow } from './runRows.js';

/** Returns the identifier of the text that an attempt produced for a sample. */
export const textBodyIdOf = (sample: SampleId, attempt: AttemptId): BodyId =>
  asBrand(`${sample}/${attempt}`);

/** Returns the identifier of the text of a run, or undefined if the run has no answer yet. */
export const bodyIdOfRun = (run: SampleRunRow): BodyId | undefined =>
  run.attempt === null ? undefined : textBodyIdOf(run.id, run.attempt);

const releaseRun = (world: World, run: SampleRunRow): void => {
  if (run.state === RunState.Running && run.request !== null) world.departures.append(run.request);
  const body = bodyIdOfRun(run);
  if (body !== undefined) removeCopies(world, body);
};

/**
 * Removes a run. Its running request is cancelled, and the generated tokens are counted as wasted.
 */
export const removeRun = (world: World, run: SampleRunRow): void => {
  releaseRun(world, run);
  world.sampleRuns.remove(run.id);
};

/** Delay before a sample is rerun, which limits the cost of a permanent fault. */
const rerunDelayMilliseconds = 200;

/**
 * Discards the result of a run and schedules a rerun; `reason` goes into the metric and the event.
 */
export const scheduleRerun = (
  world: World,
  run: SampleRunRow,
  reason: string,
  now: Instant,
): void => {
  releaseRun(world, run);
  world.sampleRuns.change(run.id, {
    state: RunState.Waiting,
    runDeadline: deadlineAfter(now, rerunDelayMilliseconds),
    request: null,
    attempt: null,
    spans: [],
  });
  world.metrics.count('samples.discarded', 1, { reason });
  world.events.append({
    kind: EventKind.SampleDiscarded,
    subject: { sample: run.id, lot: run.lot, reason },
  });
};
