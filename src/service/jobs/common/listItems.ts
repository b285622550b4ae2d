/**
 * Proposes results to the log. Results of one tick and one job go together.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { ItemResult, type ListedItem } from './jobCommands.js';
import { RunState, type RunRow } from './jobTables.js';

/** A leader that can't have a result agreed within this time has lost its lease long before. */
const proposalMilliseconds = 10_000;

type Ending = Pick<ListedItem, 'result' | 'score'>;

/** Cancels the scoring request of a run, so that it is not sent again. */
export const cancelScoring = (world: World, { call }: RunRow): void => {
  if (call !== null) world.departedCalls.append(call);
};

/** Queues the result of a run for the next proposal. */
export const listItem = (world: World, run: RunRow, { result, score }: Ending): void => {
  const item = world.jobItems.get(run.id);
  cancelScoring(world, run);
  world.runs.change(run.id, { state: RunState.Proposed, upstream: null, call: null });
  if (item === undefined) return;
  const isComplete = result === ItemResult.Completed;
  world.itemResults.append({
    job: run.job,
    listed: {
      item: item.item,
      result,
      text: isComplete ? run.text : '',
      versions: isComplete ? [...run.versions] : [],
      score,
    },
  });
  world.events.append({
    kind: EventKind.ItemListed,
    subject: { item: run.id, result, versions: run.versions.join(','), failures: run.failures },
  });
};

const propose = (world: World, job: string, results: readonly ListedItem[], now: Instant): void =>
  world.proposals.append({
    id: world.identifiers.next('listed'),
    command: { kind: 'itemsListed', job, results: [...results] },
    proposalDeadline: deadlineAfter(now, proposalMilliseconds),
  });

/** Creates the system that proposes results. */
export const createListingSystem = (world: World): System => ({
  name: 'listing',
  run: (now) => {
    const byJob = new Map<string, ListedItem[]>();
    world.itemResults.takeAll().forEach(({ job, listed }) => {
      byJob.set(job, [...(byJob.get(job) ?? []), listed]);
    });
    byJob.forEach((results, job) => propose(world, job, results, now));
  },
});
