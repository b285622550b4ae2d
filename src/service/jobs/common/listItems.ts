/**
 * Proposes the results of items to the replicated log. The results of one job that are queued
 * within one tick are proposed together, in commands of limited size. Texts of a job with home
 * regions are first stored at its holders.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { ItemResult, type ListedItem } from './jobCommands.js';
import { hasHeldContents } from './jobContents.js';
import { RunState, type JobId, type RunRow } from './jobTables.js';
import { proposeResults } from './proposeResults.js';

/** Reason why an item is listed as dead. */
export const ItemFailureCause = {
  /** Engines failed the item as often as its route allows. */
  EnginesFailed: 'enginesFailed',
  /** An engine answered that the item can never succeed. */
  Impossible: 'impossible',
  /** The scoring request failed as often as its route allows. */
  ScoringFailed: 'scoringFailed',
  /** The lifetime of the item has passed. */
  LifetimeExpired: 'timeOver',
} as const;
export type ItemFailureCause = ValueOf<typeof ItemFailureCause>;

/** Outcome of an item: completed with its score, or dead with the cause. */
type ItemOutcome =
  | { readonly result: typeof ItemResult.Completed; readonly score: string | null }
  | { readonly result: typeof ItemResult.Dead; readonly cause: ItemFailureCause };

/** Cancels the scoring request of a run, so that it is not retried. */
export const cancelScoring = (world: World, { call }: RunRow): void => {
  if (call !== null) world.departedCalls.append(call);
};

/** Marks a run as proposed and queues its result for the next proposal. */
export const queueItemResult = (world: World, run: RunRow, outcome: ItemOutcome): void => {
  const { result } = outcome;
  const isCompleted = result === ItemResult.Completed;
  const item = world.jobItems.get(run.id);
  cancelScoring(world, run);
  world.runs.change(run.id, { state: RunState.Proposed, upstream: null, call: null });
  if (item === undefined) return;
  world.itemResults.append({
    job: run.job,
    listed: {
      item: item.item,
      result,
      text: isCompleted ? run.text : '',
      versions: isCompleted ? [...run.versions] : [],
      score: isCompleted ? outcome.score : null,
    },
  });
  world.events.append({
    kind: EventKind.ItemListed,
    subject: {
      item: run.id,
      result,
      cause: isCompleted ? 'none' : outcome.cause,
      versions: run.versions.join(','),
      failures: run.failures,
      scoreFailures: run.scoreFailures,
    },
  });
};

/** Creates the system that proposes queued results. */
export const createResultListingSystem = (world: World): System => ({
  name: 'listing',
  run: (now) => {
    const resultsByJob = new Map<JobId, ListedItem[]>();
    world.itemResults.takeAll().forEach(({ job, listed }) => {
      resultsByJob.set(job, [...(resultsByJob.get(job) ?? []), listed]);
    });
    resultsByJob.forEach((results, job) => {
      const row = world.jobs.get(job);
      if (row !== undefined && hasHeldContents(row))
        world.undigestedResults.append({ job, results });
      else proposeResults(world, job, results, now);
    });
  },
});
