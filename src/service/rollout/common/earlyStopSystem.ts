/**
 * Stops samples that can't be delivered any more: a part of the answer is older than the bound, or the
 * engine has changed to other weights and the lot wants one version a sample.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { AttemptState, type AttemptRow } from '../../traffic/common/trafficTables.js';
import type { LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { repeatRun } from './runs.js';
import { RunState, type SampleRunRow } from './runRows.js';
import { findLastingFault } from './sampleSystem.js';

const stopDoomed = (world: World, run: SampleRunRow, attempt: AttemptRow, now: Instant): void => {
  const lot = world.lots.get(run.lot);
  const fault = lot === undefined ? undefined : findLastingFault(attempt, lot);
  if (fault === undefined) return;
  world.metrics.count('samples.stoppedEarly', 1, { reason: fault });
  repeatRun(world, run, fault, now);
};

const runOf = (world: World, attempt: AttemptRow): SampleRunRow | undefined => {
  const sample = world.requests.get(attempt.request)?.sample ?? null;
  const run = sample === null ? undefined : world.sampleRuns.get(sample);
  return run?.request === attempt.request && run.state === RunState.Running ? run : undefined;
};

const lookAtAttempt = (world: World, attempt: AttemptRow, now: Instant): void => {
  if (attempt.state === AttemptState.Ended) return;
  const run = runOf(world, attempt);
  if (run !== undefined) stopDoomed(world, run, attempt, now);
};

const lookAtRun = (world: World, run: SampleRunRow, now: Instant): void => {
  if (run.request === null) return;
  world.attempts
    .where('request', run.request)
    .filter((attempt) => attempt.state !== AttemptState.Ended)
    .forEach((attempt) => stopDoomed(world, run, attempt, now));
};

/** Creates the system of early stops. */
export const createEarlyStopSystem = (world: World): System => {
  const lotChanges = world.lots.createChangeReader();
  const attemptChanges = world.attempts.createChangeReader();
  const versions = new Map<LotId, number>();

  const hasAdvanced = (id: LotId): boolean => {
    const version = world.lots.get(id)?.trainerVersion;
    if (version === undefined) {
      versions.delete(id);
      return false;
    }
    const before = versions.get(id);
    versions.set(id, version);
    return before !== undefined && before < version;
  };

  return {
    name: 'earlyStop',
    run: (now) => {
      attemptChanges.take().forEach((id) => {
        const attempt = world.attempts.get(id);
        if (attempt !== undefined) lookAtAttempt(world, attempt, now);
      });
      lotChanges
        .take()
        .filter(hasAdvanced)
        .flatMap((lot) => world.sampleRuns.where('lotState', `${lot}/${RunState.Running}`))
        .forEach((run) => lookAtRun(world, run, now));
    },
  };
};
