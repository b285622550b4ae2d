/**
 * Proposes results to the log. Results of one tick and one job go together.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { ItemResult, type ListedItem } from './jobCommands.js';
import { RunState, type RunRow } from './jobTables.js';

/** A leader that can't have a result agreed within this time has lost its lease long before. */
const proposalTimeoutMilliseconds = 10_000;

/** Why an item is listed as dead. */
export const ItemFailureCause = {
  /** Engines failed it as often as its route allows. */
  EnginesFailed: 'enginesFailed',
  /** An engine said that it can never be done. */
  Impossible: 'impossible',
  /** Its scoring request failed as often as its route allows. */
  ScoringFailed: 'scoringFailed',
  /** Its time was over. */
  LifetimeExpired: 'timeOver',
} as const;
export type ItemFailureCause = ValueOf<typeof ItemFailureCause>;

/** How an item ends: with its score, or dead for a reason. */
type ItemOutcome =
  | { readonly result: typeof ItemResult.Completed; readonly score: string | null }
  | { readonly result: typeof ItemResult.Dead; readonly cause: ItemFailureCause };

/** Cancels the scoring request of a run, so that it is not sent again. */
export const cancelScoring = (world: World, { call }: RunRow): void => {
  if (call !== null) world.departedCalls.append(call);
};

/** Queues the result of a run for the next proposal. */
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

const proposeResults = (
  world: World,
  job: string,
  results: readonly ListedItem[],
  now: Instant,
): void =>
  world.proposals.append({
    id: world.identifiers.next('listed'),
    command: { kind: 'itemsListed', job, results: [...results] },
    proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
  });

/** Creates the system that proposes results. */
export const createResultListingSystem = (world: World): System => ({
  name: 'listing',
  run: (now) => {
    const resultsByJob = new Map<string, ListedItem[]>();
    world.itemResults.takeAll().forEach(({ job, listed }) => {
      resultsByJob.set(job, [...(resultsByJob.get(job) ?? []), listed]);
    });
    resultsByJob.forEach((results, job) => proposeResults(world, job, results, now));
  },
});
