/**
 * Texts of items that come again. A group that was not complete when its job ended may stand in a later job
 * under the same identifiers; what is agreed of its texts is used there, where its versions are allowed.
 */
import type { World } from '../../world/common/world.js';
import { isVersionSetAllowed, isSingleVersion } from './allowedVersions.js';
import { ItemResult, type SavedText } from './jobCommands.js';
import type { JobItemRow, JobRow } from './jobTables.js';

/** The rows of the same item in other jobs of the model. */
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

/** The whole text of an item as an earlier job listed it, if it may be listed in this job too. */
export const findCompleteText = (
  world: World,
  job: JobRow,
  item: JobItemRow,
): Pick<SavedText, 'text' | 'versions'> | undefined =>
  findSameItemInOtherJobs(world, job, item)
    .filter(({ isListed }) => isListed)
    .flatMap((row) => world.jobResults.where('job', row.job))
    .find(
      (row) =>
        row.item === item.item &&
        row.result === ItemResult.Completed &&
        isVersionSetAllowed(world, job, row.versions),
    );

/** The longest beginning of a text that an earlier job has left and that this job may go on from. */
export const findPartialText = (
  world: World,
  job: JobRow,
  item: JobItemRow,
): SavedText | undefined => {
  // A text of one version can go on only on an engine that still holds it.
  if (isSingleVersion(world, job)) return undefined;
  return findSameItemInOtherJobs(world, job, item)
    .map(({ saved }) => saved)
    .filter((saved) => saved !== null && isVersionSetAllowed(world, job, saved.versions))
    .reduce<SavedText | undefined>(
      (longest, saved) => (saved!.events > (longest?.events ?? 0) ? saved! : longest),
      undefined,
    );
};
