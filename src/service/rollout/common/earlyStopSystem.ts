/**
 * Stops running samples that can no longer be delivered: part of the answer is older than the
 * staleness bound, or the engine has swapped its weights and the lot requires a single version per
 * sample. Runs each tick for changed attempts and for lots whose trainer version has risen.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { AttemptState, type AttemptRow } from '../../traffic/common/trafficTables.js';
import type { LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { scheduleRerun } from './runs.js';
import { RunState, type SampleRunRow } from './runRows.js';
import { findPermanentFault } from './sampleSystem.js';

const stopUndeliverableRun = (
  world: World,
  run: SampleRunRow,
  attempt: AttemptRow,
  now: Instant,
): void => {
  const lot = world.lots.get(run.lot);
  const fault = lot === undefined ? undefined : findPermanentFault(attempt, lot);
  if (fault === undefined) return;
  world.metrics.count('samples.stoppedEarly', 1, { reason: fault });
  scheduleRerun(world, run, fault, now);
};

const runOfAttempt = (world: World, attempt: AttemptRow): SampleRunRow | undefined => {
  const sample = world.requests.get(attempt.request)?.sample ?? null;
  const run = sample === null ? undefined : world.sampleRuns.get(sample);
  return run?.request === attempt.request && run.state === RunState.Running ? run : undefined;
};

const checkAttempt = (world: World, attempt: AttemptRow, now: Instant): void => {
  if (attempt.state === AttemptState.Ended) return;
  const run = runOfAttempt(world, attempt);
  if (run !== undefined) stopUndeliverableRun(world, run, attempt, now);
};

const checkRun = (world: World, run: SampleRunRow, now: Instant): void => {
  if (run.request === null) return;
  world.attempts
    .where('request', run.request)
    .filter((attempt) => attempt.state !== AttemptState.Ended)
    .forEach((attempt) => stopUndeliverableRun(world, run, attempt, now));
};

/** Creates the system that stops undeliverable samples early. */
export const createEarlyStopSystem = (world: World): System => {
  const lotChanges = world.lots.createChangeReader();
  const attemptChanges = world.attempts.createChangeReader();
  const trainerVersions = new Map<LotId, number>();

  const hasAdvanced = (id: LotId): boolean => {
    const version = world.lots.get(id)?.trainerVersion;
    if (version === undefined) {
      trainerVersions.delete(id);
      return false;
    }
    const previousVersion = trainerVersions.get(id);
    trainerVersions.set(id, version);
    return previousVersion !== undefined && previousVersion < version;
  };

  return {
    name: 'earlyStop',
    run: (now) => {
      attemptChanges.take().forEach((id) => {
        const attempt = world.attempts.get(id);
        if (attempt !== undefined) checkAttempt(world, attempt, now);
      });
      lotChanges
        .take()
        .filter(hasAdvanced)
        .flatMap((lot) => world.sampleRuns.where('lotState', `${lot}/${RunState.Running}`))
        .forEach((run) => checkRun(world, run, now));
    },
  };
};
