/**
 * Changes of the runs of samples: a run waits to be run again, or is dropped with what belongs to it.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { AttemptId, BodyId, SampleId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { removeCopies } from './bodyCopies.js';
import { RunState, type SampleRunRow } from './runRows.js';

/** The identifier of the text that an attempt has made for a sample. */
export const textBodyIdOf = (sample: SampleId, attempt: AttemptId): BodyId =>
  asBrand(`${sample}/${attempt}`);

/** The text of a run that has its answer, or undefined. */
export const bodyIdOfRun = (run: SampleRunRow): BodyId | undefined =>
  run.attempt === null ? undefined : textBodyIdOf(run.id, run.attempt);

const releaseRun = (world: World, run: SampleRunRow): void => {
  if (run.state === RunState.Running && run.request !== null) world.departures.append(run.request);
  const body = bodyIdOfRun(run);
  if (body !== undefined) removeCopies(world, body);
};

/** Drops a run; a request that runs for it is cancelled and its tokens are counted as waste. */
export const removeRun = (world: World, run: SampleRunRow): void => {
  releaseRun(world, run);
  world.sampleRuns.remove(run.id);
};

/** Time before a sample is run again, so that a lasting fault costs little. */
const rerunDelayMilliseconds = 200;

/** Drops what a run has made and runs the sample again later. */
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
