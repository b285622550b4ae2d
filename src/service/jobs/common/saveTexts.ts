/**
 * Proposes the beginnings of long texts to the log, so that another leader goes on after them. Parts of
 * one tick and one job go together.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import type { World } from '../../world/common/world.js';
import type { SavedItem } from './jobCommands.js';
import type { RunRow } from './jobTables.js';

const proposalMilliseconds = 5_000;

/** How often the beginning of a long text is kept in the log. */
export const saveMilliseconds = 1_200;

/** The events of a run that were not saved before; each event is one line or more. */
const unsavedText = ({ savedEvents, savedCharacters, text }: RunRow): string =>
  savedEvents === 0 ? text : text.slice(savedCharacters + 1);

/** Queues what has come of a text since it was last saved. */
export const saveText = (world: World, run: RunRow, saveDeadline: Instant): void => {
  const item = world.jobItems.get(run.id);
  world.runs.change(run.id, { saveDeadline });
  if (item === undefined || run.events === run.savedEvents) return;
  world.savedTexts.append({
    job: run.job,
    saved: {
      item: item.item,
      after: run.savedEvents,
      events: run.events,
      text: unsavedText(run),
      versions: [...run.versions],
    },
  });
  world.runs.change(run.id, { savedEvents: run.events, savedCharacters: run.text.length });
};

/** Creates the system that proposes texts. */
export const createSavingSystem = (world: World): System => ({
  name: 'saving',
  run: (now) => {
    const byJob = new Map<string, SavedItem[]>();
    world.savedTexts.takeAll().forEach(({ job, saved }) => {
      byJob.set(job, [...(byJob.get(job) ?? []), saved]);
    });
    byJob.forEach((saved, job) =>
      world.proposals.append({
        id: world.identifiers.next('saved'),
        command: { kind: 'textsSaved', job, saved },
        proposalDeadline: deadlineAfter(now, proposalMilliseconds),
      }),
    );
  },
});
