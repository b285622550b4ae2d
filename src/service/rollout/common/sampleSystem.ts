/**
 * Completes samples whose request was answered, and plans again those whose request failed, whose engine
 * named no weight version, or that are older than the bound.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../platform/tables/common/tick.js';
import { oldestVersion } from '../../dispatch/common/versionSpans.js';
import { EventKind } from '../../events/common/eventKind.js';
import { hasEnded } from '../../traffic/common/endRequest.js';
import {
  RequestState,
  type AttemptRow,
  type RequestRow,
  type VersionSpan,
} from '../../traffic/common/trafficTables.js';
import type { World } from '../../world/common/world.js';
import { SampleState, type LotRow, type SampleRow } from './rolloutTables.js';

/** Whether the oldest tokens lag behind the trainer by more than the bound. */
export const isStale = (spans: readonly VersionSpan[], lot: LotRow): boolean => {
  const oldest = oldestVersion(spans);
  return oldest === undefined || oldest < lot.trainerVersion - lot.stalenessBound;
};

/** Time before a sample is run again, so that a lasting fault costs little. */
const replanMilliseconds = 200;

/** Drops what a sample has and lets the planner run it again. */
export const replanSample = (
  world: World,
  sample: SampleRow,
  reason: string,
  now: Instant,
): void => {
  world.samples.change(sample.id, {
    state: SampleState.Planned,
    planDeadline: deadlineAfter(now, replanMilliseconds),
    request: null,
    attempt: null,
    spans: [],
  });
  world.metrics.count('samples.discarded', 1, { reason });
  world.events.append({
    kind: EventKind.SampleDiscarded,
    subject: { sample: sample.id, lot: sample.lot, reason },
  });
};

const completingAttempt = (world: World, request: RequestRow): AttemptRow | undefined =>
  world.attempts.where('request', request.id).at(-1);

const whyUnusable = (attempt: AttemptRow, lot: LotRow): string | undefined => {
  if (attempt.unnamedTokens > 0 || attempt.spans.length === 0) return 'noWeightVersion';
  return isStale(attempt.spans, lot) ? 'stale' : undefined;
};

const complete = (world: World, sample: SampleRow, attempt: AttemptRow): void => {
  world.samples.change(sample.id, {
    state: SampleState.Complete,
    attempt: attempt.id,
    spans: attempt.spans,
  });
  world.events.append({
    kind: EventKind.SampleComplete,
    subject: { sample: sample.id, lot: sample.lot, attempt: attempt.id },
  });
};

const takeAnswer = (world: World, sample: SampleRow, request: RequestRow, now: Instant): void => {
  const attempt = completingAttempt(world, request);
  const lot = world.lots.get(sample.lot);
  if (attempt === undefined || lot === undefined) return;
  const reason = whyUnusable(attempt, lot);
  if (reason === undefined) complete(world, sample, attempt);
  else replanSample(world, sample, reason, now);
};

const takeEnd = (world: World, request: RequestRow, now: Instant): void => {
  const sample = world.samples.get(request.sample!);
  if (sample?.request !== request.id || sample.state !== SampleState.Running) return;
  if (request.state === RequestState.Answered) takeAnswer(world, sample, request, now);
  else replanSample(world, sample, request.refusal?.kind ?? request.state, now);
};

/** Creates the system that follows the requests of samples. */
export const createSampleSystem = (world: World): System => {
  const changes = world.requests.readChanges();
  return {
    name: 'sample',
    run: (now) =>
      changes.take().forEach((id) => {
        const request = world.requests.get(id);
        if (request !== undefined && request.sample !== null && hasEnded(request)) {
          takeEnd(world, request, now);
        }
      }),
  };
};
