/**
 * The planner: runs the samples of the lots that this daemon owns, a window of them at a time, groups
 * that are nearest to completion first. Their requests wait in the same queues as those of callers.
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
import { promptBodyOf } from './putLot.js';
import { ReadState } from './bodyRows.js';
import { dropRun } from './runs.js';
import { RunState, type SampleRunRow } from './runRows.js';

const putRequest = (world: World, sample: SampleRow, lot: LotRow, now: Instant): RequestId => {
  const id = world.identifiers.next<RequestId>('request');
  const arrived = {
    id,
    keyDigest: null,
    service: lot.service,
    model: lot.model,
    estimatedTokens: lot.maximumTokens,
    sample: sample.id,
    madeFor: lot.workspace,
  };
  world.requests.put(createArrivedRow(arrived, now));
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

/** Samples of the group that are neither complete nor in a batch. */
const remainingOf = (world: World, sample: SampleRow): number =>
  world.samples.count('groupState', `${sample.group}/${SampleState.Planned}`);

const wantedSamples = (world: World, lot: LotRow): SampleRow[] =>
  world.samples
    .where('lotState', `${lot.id}/${SampleState.Planned}`)
    .filter((sample) => !world.sampleRuns.has(sample.id))
    .map((sample) => ({ sample, remaining: remainingOf(world, sample) }))
    .sort(
      (first, second) =>
        first.remaining - second.remaining || first.sample.position - second.sample.position,
    )
    .map(({ sample }) => sample);

/** The window is filled again when this share of it is empty, so that the samples are seldom sorted. */
const refillShare = 0.25;

const fillWindow = (world: World, lot: LotRow, now: Instant): void => {
  const window = world.lotWindows.get(lot.id)?.samples ?? 0;
  const room = window - world.sampleRuns.count('lot', lot.id);
  if (room < Math.max(1, Math.floor(window * refillShare))) return;
  wantedSamples(world, lot)
    .slice(0, room)
    .forEach((sample) => startRun(world, sample, lot, now));
};

/** Whether the prompts are in memory; asks for them where they are not. */
const hasPrompts = (world: World, lot: LotRow, now: Instant): boolean => {
  const [read] = world.bodyReads.where('reader', lot.id);
  if (read?.state === ReadState.Here) return true;
  if (read?.state === ReadState.Wanted) return false;
  const body = promptBodyOf(lot.id, lot.promptDigest);
  readBody(world, lot.id, { body, lot: lot.id, holders: lot.holders }, now);
  return false;
};

const stopRunning = (world: World, id: LotId): void => {
  world.sampleRuns.where('lot', id).forEach((run) => dropRun(world, run));
  releaseBodies(world, id);
  world.lotWindows.remove(id);
};

const look = (world: World, id: LotId, now: Instant): void => {
  const lot = world.lots.get(id);
  const runsHere = lot?.owner === asBrand(world.self.name) && lot.state === LotState.Open;
  if (!runsHere) {
    stopRunning(world, id);
    return;
  }
  if (!world.lotWindows.has(id)) {
    world.lotWindows.put({ id, samples: 0, windowDeadline: now });
  }
  if (hasPrompts(world, lot, now)) fillWindow(world, lot, now);
};

const runAgain = (world: World, run: SampleRunRow, now: Instant): void => {
  const lot = world.lots.get(run.lot);
  const sample = world.samples.get(run.id);
  if (lot !== undefined && sample !== undefined) startRun(world, sample, lot, now);
};

/** Creates the planner. */
export const createPlanSystem = (world: World): System => {
  const watcher = createLotWatcher(world, ['lots', 'samples', 'sampleRuns', 'lotWindows']);
  const readChanges = world.bodyReads.createChangeReader();

  const lotsOfReads = (): LotId[] =>
    readChanges.take().flatMap((id) => world.bodyReads.get(id)?.lot ?? []);

  return {
    name: 'plan',
    run: (now) => {
      new Set([...watcher.take(), ...lotsOfReads()]).forEach((lot) => look(world, lot, now));
      world.sampleRuns.takeDue('run', now).forEach((run) => runAgain(world, run, now));
    },
  };
};
