/**
 * Proposes the partial texts of long runs to the replicated log, so that a new leader can continue
 * them. The parts of one job that are queued within one tick are proposed together, in commands of
 * limited size.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import type { World } from '../../world/common/world.js';
import { divideIntoCommands } from './commandBatches.js';
import type { JobCommand } from './jobCommands.js';
import { hasHeldContents } from './jobContents.js';
import type { RunRow } from './jobTables.js';

const proposalTimeoutMilliseconds = 5_000;

/** Interval at which the partial text of a run is saved to the log. */
export const saveIntervalMilliseconds = 1_200;

/** Returns the text of the events that are not saved yet; each event spans one or more lines. */
const unsavedTextOf = ({ savedEvents, savedCharacters, text }: RunRow): string =>
  savedEvents === 0 ? text : text.slice(savedCharacters + 1);

/** Queues the events of a run since its last save for the next proposal. */
export const queueUnsavedText = (world: World, run: RunRow, saveDeadline: Instant): void => {
  const item = world.jobItems.get(run.id);
  world.runs.change(run.id, { saveDeadline });
  const job = world.jobs.get(run.job);
  // The log is also on daemons outside the home regions; a new runner begins unfinished items anew.
  if (job !== undefined && hasHeldContents(job)) return;
  if (item === undefined || run.events === run.savedEvents) return;
  world.savedTexts.append({
    job: run.job,
    saved: {
      item: item.item,
      after: run.savedEvents,
      events: run.events,
      text: unsavedTextOf(run),
      versions: [...run.versions],
      ...(run.softwareVersion === null ? {} : { softwareVersion: run.softwareVersion }),
    },
  });
  world.runs.change(run.id, { savedEvents: run.events, savedCharacters: run.text.length });
};

/** Queues the removal of the saved text of a run from the log. */
export const queueTextRemoval = (world: World, run: RunRow): void => {
  const item = world.jobItems.get(run.id);
  if (item === undefined || (run.savedEvents === 0 && item.saved === null)) return;
  world.discardedTexts.append({ job: run.job, item: item.item });
};

const groupByJob = <Row extends { readonly job: string }>(
  rows: readonly Row[],
): Map<string, Row[]> => {
  const rowsByJob = new Map<string, Row[]>();
  rows.forEach((row) => rowsByJob.set(row.job, [...(rowsByJob.get(row.job) ?? []), row]));
  return rowsByJob;
};

const propose = (world: World, command: JobCommand, now: Instant): void =>
  world.proposals.append({
    id: world.identifiers.next('saved'),
    command,
    proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
  });

/** Creates the system that proposes queued partial texts, and after them the removal of others. */
export const createTextSavingSystem = (world: World): System => ({
  name: 'saving',
  run: (now) => {
    groupByJob(world.savedTexts.takeAll()).forEach((rows, job) =>
      divideIntoCommands(rows.map(({ saved }) => saved)).forEach((saved) =>
        propose(world, { kind: 'textsSaved', job, saved }, now),
      ),
    );
    groupByJob(world.discardedTexts.takeAll()).forEach((rows, job) =>
      propose(world, { kind: 'textsDiscarded', job, items: rows.map(({ item }) => item) }, now),
    );
  },
});
