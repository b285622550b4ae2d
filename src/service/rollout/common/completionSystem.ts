/**
 * Proposes the completion of samples to the ledger once their texts are on two disks. While a
 * completion of a lot is pending, further stored samples are collected for the next one. Runs each
 * tick for lots whose runs or copies have changed.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import type { LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { replicaHoldersOf, hasRequiredCopies } from './bodyCopies.js';
import type { SampleCompletion } from './ledgerChanges.js';
import { SampleState, type LotRow } from './ledgerRows.js';
import { isProposing, proposeOnce } from './ledgerProposals.js';
import { createLotWatcher } from './lotWatcher.js';
import { bodyIdOfRun, removeRun, scheduleRerun } from './runs.js';
import { ProposalPurpose, RunState, type SampleRunRow } from './runRows.js';
import { isStale } from './staleness.js';

/** Maximum number of samples in one command, which keeps log entries small. */
const samplesPerCommand = 256;

const markStoredRuns = (world: World, lot: LotId): void =>
  world.sampleRuns
    .where('lotState', `${lot}/${RunState.Storing}`)
    .filter((run) => hasRequiredCopies(world, bodyIdOfRun(run)!))
    .forEach((run) => world.sampleRuns.change(run.id, { state: RunState.Stored }));

/**
 * Whether a run can be completed; removes it if its sample is no longer planned, reruns it if it is
 * stale.
 */
const validateRun = (world: World, lot: LotRow, run: SampleRunRow, now: Instant): boolean => {
  if (world.samples.get(run.id)?.state !== SampleState.Planned) {
    removeRun(world, run);
    return false;
  }
  if (!isStale(run.spans, lot)) return true;
  scheduleRerun(world, run, 'stale', now);
  return false;
};

const completionOf = (world: World, run: SampleRunRow): SampleCompletion => ({
  sample: run.id,
  attempt: run.attempt!,
  holders: [...replicaHoldersOf(world, bodyIdOfRun(run)!)],
  spans: run.spans,
});

const proposeCompletion = (world: World, id: LotId, now: Instant): void => {
  const lot = world.lots.get(id);
  if (lot === undefined || isProposing(world, id, ProposalPurpose.Complete)) return;
  const samples = world.sampleRuns
    .where('lotState', `${id}/${RunState.Stored}`)
    .filter((run) => validateRun(world, lot, run, now))
    .slice(0, samplesPerCommand)
    .map((run) => completionOf(world, run));
  if (samples.length === 0) return;
  const { epoch } = lot;
  const command = {
    kind: 'samplesCompleted' as const,
    lot: id,
    epoch,
    samples: samples.map((sample) => ({
      ...sample,
      holders: [...sample.holders],
      spans: [...sample.spans],
    })),
  };
  proposeOnce(world, id, ProposalPurpose.Complete, command, now);
};

/** Creates the system that completes stored samples. */
export const createCompletionSystem = (world: World): System => {
  const watcher = createLotWatcher(world, ['lots', 'sampleRuns', 'bodyCopies']);
  return {
    name: 'completion',
    run: (now) =>
      watcher.takeChanges().forEach((lot) => {
        markStoredRuns(world, lot);
        proposeCompletion(world, lot, now);
      }),
  };
};
