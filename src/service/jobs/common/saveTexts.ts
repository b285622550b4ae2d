/**
 * Proposes the partial texts of long runs to the replicated log, so that a new leader can continue
 * them. The parts of one job that are queued within one tick are proposed together, in commands of
 * limited size.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import type { World } from '../../world/common/world.js';
import type { SavedItem } from './jobCommands.js';
import { divideIntoCommands } from './commandBatches.js';
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

/** Creates the system that proposes queued partial texts. */
export const createTextSavingSystem = (world: World): System => ({
  name: 'saving',
  run: (now) => {
    const savedByJob = new Map<string, SavedItem[]>();
    world.savedTexts.takeAll().forEach(({ job, saved }) => {
      savedByJob.set(job, [...(savedByJob.get(job) ?? []), saved]);
    });
    savedByJob.forEach((allSaved, job) =>
      divideIntoCommands(allSaved).forEach((saved) =>
        world.proposals.append({
          id: world.identifiers.next('saved'),
          command: { kind: 'textsSaved', job, saved },
          proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
        }),
      ),
    );
  },
});
