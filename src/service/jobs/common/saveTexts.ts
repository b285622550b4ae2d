/**
 * Proposes the beginnings of long texts to the log, so that another leader goes on after them. Parts of
 * one tick and one job go together.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import type { World } from '../../world/common/world.js';
import type { SavedItem } from './jobCommands.js';
import type { RunRow } from './jobTables.js';

const proposalTimeoutMilliseconds = 5_000;

/** How often the beginning of a long text is kept in the log. */
export const saveIntervalMilliseconds = 1_200;

/** The events of a run that were not saved before; each event is one line or more. */
const unsavedTextOf = ({ savedEvents, savedCharacters, text }: RunRow): string =>
  savedEvents === 0 ? text : text.slice(savedCharacters + 1);

/** Queues what has come of a text since it was last saved. */
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
    },
  });
  world.runs.change(run.id, { savedEvents: run.events, savedCharacters: run.text.length });
};

/** Creates the system that proposes texts. */
export const createTextSavingSystem = (world: World): System => ({
  name: 'saving',
  run: (now) => {
    const savedByJob = new Map<string, SavedItem[]>();
    world.savedTexts.takeAll().forEach(({ job, saved }) => {
      savedByJob.set(job, [...(savedByJob.get(job) ?? []), saved]);
    });
    savedByJob.forEach((saved, job) =>
      world.proposals.append({
        id: world.identifiers.next('saved'),
        command: { kind: 'textsSaved', job, saved },
        proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
      }),
    );
  },
});
