/**
 * Applies the committed commands of batch jobs to the replicated rows. Every voter runs these
 * handlers in log order, so they may depend only on the command and on replicated rows.
 */
import { err, ok } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { ApplyHandlers } from '../../consensus/common/applyHandlers.js';
import type { Rejection } from '../../consensus/common/consensusTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { ModelVersionRow } from '../../weights/common/versionTables.js';
import type { World } from '../../world/common/world.js';
import type { JobCommand, JobSubmitted, ListedItem, SavedItem } from './jobCommands.js';
import { hasHeldContents } from './jobContents.js';
import { itemIdOf, JobState, resultIdOf, type JobId, type JobRow } from './jobTables.js';

const emptyBody = new Uint8Array();

/**
 * Former holders that new ones may ask, the latest first: those of three changes of all holders, where
 * two lost disks are survived. Changes that follow each other may leave no other copy for a while.
 */
const maximumFormerHolders = 9;

/** Weight version of a model before a trainer has named one. */
const initialVersion = 1;

const insertJob = (world: World, command: JobSubmitted): void => {
  const { kind, job, items, ...columns } = command;
  const id = asBrand<JobId>(job);
  const tokens = items.reduce((sum, item) => sum + (item.expectedTokens ?? item.tokens), 0);
  const total = items.length;
  const namedVersion = world.modelVersions.get(
    asBrand<ModelVersionRow['id']>(command.model),
  )?.version;
  const newestVersion = namedVersion ?? initialVersion;
  world.jobs.put({
    ...columns,
    id,
    state: JobState.Open,
    newestVersion,
    tokens,
    total,
    listed: 0,
    runner: null,
    formerHolders: [],
  });
  items.forEach((item) =>
    world.jobItems.put({
      ...item,
      id: itemIdOf(job, item.item),
      job: id,
      isListed: false,
      saved: null,
    }),
  );
  world.events.append({
    kind: EventKind.JobAccepted,
    subject: { job, items: items.length, minimumVersion: command.minimumVersion },
  });
};

/** Lists a result at the next position; an item that is already listed keeps its first result. */
const applyListedItem = (world: World, job: JobRow, listed: ListedItem): void => {
  const item = world.jobItems.get(itemIdOf(job.id, listed.item));
  if (item === undefined || item.isListed) return;
  const position = world.jobs.get(job.id)!.listed;
  world.jobItems.change(item.id, { isListed: true, body: emptyBody, scorer: null, saved: null });
  world.jobResults.put({ ...listed, id: resultIdOf(job.id, position), job: job.id });
  world.jobs.change(job.id, { listed: position + 1 });
};

/**
 * Appends a part to the saved text of an item. A part that starts at event 0 replaces the saved
 * text; one that does not follow the saved events is ignored. A part that does not name the software
 * version of the text was added by an earlier release, which does not compare versions; the version
 * of the text is unknown from then on.
 */
const applySavedText = (
  world: World,
  job: JobRow,
  { item: name, after, ...part }: SavedItem,
): void => {
  const item = world.jobItems.get(itemIdOf(job.id, name));
  if (item === undefined || item.isListed) return;
  if (after === 0) {
    world.jobItems.change(item.id, { saved: part });
    return;
  }
  if (item.saved?.events !== after) return;
  const versions = [...new Set([...item.saved.versions, ...part.versions])];
  const text = `${item.saved.text}\n${part.text}`;
  const saved = { events: part.events, text, versions };
  const { softwareVersion } = part;
  const isOfOneSoftware =
    softwareVersion !== undefined && softwareVersion === item.saved.softwareVersion;
  world.jobItems.change(item.id, {
    saved: isOfOneSoftware ? { ...saved, softwareVersion } : saved,
  });
};

const createNotRunnerRejection = (
  job: string,
  origin: string,
  runner: string | null,
): Rejection => ({
  kind: 'notRunner',
  message:
    `The daemon ${origin} does not run the job ${job}; its runner is ${runner ?? 'not appointed'}. ` +
    'The runner lists the items, so the results of another daemon can be dropped.',
});

export const jobApplyHandlers: ApplyHandlers<JobCommand> = {
  jobSubmitted: (command, world) => {
    if (!world.jobs.has(asBrand(command.job))) insertJob(world, command);
    return ok(undefined);
  },
  itemsListed: ({ job, results }, world, { origin }) => {
    const jobRow = world.jobs.get(asBrand(job));
    if (jobRow !== undefined && hasHeldContents(jobRow) && jobRow.runner !== origin)
      return err(createNotRunnerRejection(job, origin, jobRow.runner));
    if (jobRow?.state === JobState.Open)
      results.forEach((result) => applyListedItem(world, jobRow, result));
    return ok(undefined);
  },
  textsSaved: ({ job, saved }, world) => {
    const jobRow = world.jobs.get(asBrand(job));
    if (jobRow?.state === JobState.Open)
      saved.forEach((part) => applySavedText(world, jobRow, part));
    return ok(undefined);
  },
  textsDiscarded: ({ job, items }, world) => {
    items.forEach((item) => world.jobItems.change(itemIdOf(job, item), { saved: null }));
    return ok(undefined);
  },
  jobEnded: ({ job }, world) => {
    world.jobs.change(asBrand(job), { state: JobState.Ended });
    world.events.append({ kind: EventKind.JobEnded, subject: { job } });
    return ok(undefined);
  },
  runnerSet: ({ job, runner }, world) => {
    const jobRow = world.jobs.get(asBrand(job));
    if (jobRow !== undefined && hasHeldContents(jobRow)) world.jobs.change(jobRow.id, { runner });
    return ok(undefined);
  },
  holdersSet: ({ job, holders }, world) => {
    const jobRow = world.jobs.get(asBrand(job));
    if (jobRow !== undefined) {
      const formerHolders = [...new Set([...jobRow.holders, ...jobRow.formerHolders])]
        .filter((name) => !holders.includes(name))
        .slice(0, maximumFormerHolders);
      world.jobs.change(jobRow.id, { holders, formerHolders });
    }
    return ok(undefined);
  },
  jobForgotten: ({ job }, world) => {
    const id = asBrand<JobId>(job);
    world.jobItems.where('job', id).forEach((item) => world.jobItems.remove(item.id));
    world.jobResults.where('job', id).forEach((result) => world.jobResults.remove(result.id));
    world.jobs.remove(id);
    return ok(undefined);
  },
};
