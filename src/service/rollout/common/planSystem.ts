/**
 * Starts the samples of the lots that this daemon owns, up to the concurrency window of each lot.
 * Groups with the fewest planned samples left start first. The requests of samples wait in the same
 * queues as those of callers. Runs each tick for lots whose rows have changed and for runs whose
 * delay has passed.
 */
import { asBrand } from '../../../base/common/brand.js';
import { never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { createArrivedRow } from '../../traffic/common/arrivedRequest.js';
import type { LotId, RequestId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { readBody, releaseBodies } from './bodySystem.js';
import { LotState, SampleState, type LotRow, type SampleRow } from './ledgerRows.js';
import { createLotWatcher } from './lotWatcher.js';
import { promptBodyIdOf } from './putLot.js';
import { ReadState } from './bodyRows.js';
import { removeRun } from './runs.js';
import { RunState, type SampleRunRow } from './runRows.js';

const putRequest = (world: World, sample: SampleRow, lot: LotRow, now: Instant): RequestId => {
  const id = world.identifiers.next<RequestId>('request');
  const requestFields = {
    id,
    keyDigest: null,
    service: lot.service,
    model: lot.model,
    estimatedTokens: lot.maximumTokens,
    sample: sample.id,
    internalWorkspace: lot.workspace,
  };
  world.requests.put(createArrivedRow(requestFields, now));
  return id;
};

const startRun = (world: World, sample: SampleRow, lot: LotRow, now: Instant): void => {
  world.sampleRuns.put({
    id: sample.id,
    lot: lot.id,
    group: sample.group,
    state: RunState.Running,
    runDeadline: never,
    request: putRequest(world, sample, lot, now),
    attempt: null,
    spans: [],
  });
};

/** Returns the number of samples of the group that are neither complete nor in a batch. */
const countPlannedInGroup = (world: World, sample: SampleRow): number =>
  world.samples.count('groupState', `${sample.group}/${SampleState.Planned}`);

const listRunnableSamples = (world: World, lot: LotRow): SampleRow[] =>
  world.samples
    .where('lotState', `${lot.id}/${SampleState.Planned}`)
    .filter((sample) => !world.sampleRuns.has(sample.id))
    .map((sample) => ({ sample, remaining: countPlannedInGroup(world, sample) }))
    .sort(
      (first, second) =>
        first.remaining - second.remaining || first.sample.position - second.sample.position,
    )
    .map(({ sample }) => sample);

/**
 * The window is refilled when this share of it is free, so that samples are not sorted too often.
 */
const refillThreshold = 0.25;

const fillWindow = (world: World, lot: LotRow, now: Instant): void => {
  const window = world.lotWindows.get(lot.id)?.samples ?? 0;
  const freeCapacity = window - world.sampleRuns.count('lot', lot.id);
  if (freeCapacity < Math.max(1, Math.floor(window * refillThreshold))) return;
  listRunnableSamples(world, lot)
    .slice(0, freeCapacity)
    .forEach((sample) => startRun(world, sample, lot, now));
};

/** Returns whether the prompts are in memory, and requests them if they are not. */
const ensurePromptsLoaded = (world: World, lot: LotRow, now: Instant): boolean => {
  const [read] = world.bodyReads.where('reader', lot.id);
  if (read?.state === ReadState.Loaded) return true;
  if (read?.state === ReadState.Pending) return false;
  const body = promptBodyIdOf(lot.id, lot.promptDigest);
  readBody(world, lot.id, { body, lot: lot.id, holders: lot.holders }, now);
  return false;
};

const stopRunsOfLot = (world: World, id: LotId): void => {
  world.sampleRuns.where('lot', id).forEach((run) => removeRun(world, run));
  releaseBodies(world, id);
  world.lotWindows.remove(id);
};

const reconcileLot = (world: World, id: LotId, now: Instant): void => {
  const lot = world.lots.get(id);
  const shouldRun = lot?.owner === asBrand(world.self.name) && lot.state === LotState.Open;
  if (!shouldRun) {
    stopRunsOfLot(world, id);
    return;
  }
  if (!world.lotWindows.has(id)) {
    world.lotWindows.put({ id, samples: 0, windowDeadline: now });
  }
  if (ensurePromptsLoaded(world, lot, now)) fillWindow(world, lot, now);
};

const restartRun = (world: World, run: SampleRunRow, now: Instant): void => {
  const lot = world.lots.get(run.lot);
  const sample = world.samples.get(run.id);
  if (lot !== undefined && sample !== undefined) startRun(world, sample, lot, now);
};

/** Creates the system that starts samples. */
export const createPlanSystem = (world: World): System => {
  const watcher = createLotWatcher(world, ['lots', 'samples', 'sampleRuns', 'lotWindows']);
  const readChanges = world.bodyReads.createChangeReader();

  const lotsOfChangedReads = (): LotId[] =>
    readChanges.take().flatMap((id) => world.bodyReads.get(id)?.lot ?? []);

  return {
    name: 'plan',
    run: (now) => {
      new Set([...watcher.takeChanges(), ...lotsOfChangedReads()]).forEach((lot) =>
        reconcileLot(world, lot, now),
      );
      world.sampleRuns.takeDue('run', now).forEach((run) => restartRun(world, run, now));
    },
  };
};
