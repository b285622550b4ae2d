/**
 * Finds text that an earlier job has already generated for an item. A group that was incomplete
 * when its job ended can be resubmitted in a later job under the same item identifiers; the
 * replicated text of the earlier job is reused there if the later job allows its weight versions.
 */
import type { World } from '../../world/common/world.js';
import { findResultText, hasHeldContents } from './jobContents.js';
import { isVersionSetAllowed, isSingleVersion } from './allowedVersions.js';
import { ItemResult, type SavedText } from './jobCommands.js';
import type { JobItemRow, JobRow } from './jobTables.js';
import { maximumEventsOf } from './outputLimit.js';

/**
 * Returns the rows of the same item in other jobs of the same model and workspace.
 */
export const findSameItemInOtherJobs = (
  world: World,
  job: JobRow,
  item: JobItemRow,
): JobItemRow[] =>
  world.jobItems
    .where('item', item.item)
    .filter(
      (row) =>
        row.job !== job.id &&
        row.path === item.path &&
        world.jobs.get(row.job)?.model === job.model &&
        world.jobs.get(row.job)?.workspace === job.workspace,
    );

/** Whether the text of a job may be stored wherever the texts of another one are. */
const mayReuseTextOf = (job: JobRow, source: JobRow | undefined): boolean => {
  if (source === undefined || !hasHeldContents(source)) return true;
  return (
    hasHeldContents(job) && job.homeRegions.every((region) => source.homeRegions.includes(region))
  );
};

/**
 * Returns the complete text that another job listed for an item, if this job allows its versions. A
 * text that only the holders of the other job have is not found elsewhere.
 */
export const findCompleteText = (
  world: World,
  job: JobRow,
  item: JobItemRow,
): Pick<SavedText, 'text' | 'versions'> | undefined =>
  findSameItemInOtherJobs(world, job, item)
    .filter(({ isListed }) => isListed)
    .filter((row) => mayReuseTextOf(job, world.jobs.get(row.job)))
    .flatMap((row) => world.jobResults.where('job', row.job))
    .filter(
      (row) =>
        row.item === item.item &&
        row.result === ItemResult.Completed &&
        isVersionSetAllowed(world, job, row.versions),
    )
    .flatMap((row) => {
      const text = findResultText(world, row.job, row);
      return text === undefined ? [] : [{ text, versions: row.versions }];
    })[0];

/** A saved text whose software version is known, so that it can go on at that version. */
export type ContinuableText = SavedText & { readonly softwareVersion: string };

const isContinuable = (saved: SavedText | null): saved is ContinuableText =>
  saved?.softwareVersion !== undefined;

/** Returns the longest partial text of an item in other jobs that this job can continue. */
export const findPartialText = (
  world: World,
  job: JobRow,
  item: JobItemRow,
): ContinuableText | undefined => {
  // A single-version text could continue only on an engine that still holds that version.
  if (isSingleVersion(world, job)) return undefined;
  return findSameItemInOtherJobs(world, job, item)
    .map(({ saved }) => saved)
    .filter(isContinuable)
    .filter(({ events }) => events <= maximumEventsOf(item))
    .filter((saved) => isVersionSetAllowed(world, job, saved.versions))
    .reduce<ContinuableText | undefined>(
      (longest, saved) => (saved.events > (longest?.events ?? 0) ? saved : longest),
      undefined,
    );
};
