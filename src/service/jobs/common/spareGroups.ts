/**
 * Selects the spare groups of a job. A trainer waits for a fixed number of groups, whichever are
 * complete first. The groups beyond that number, those with the longest items, are spare and start
 * last. Groups that were resubmitted from an earlier job are never spare.
 */
import type { World } from '../../world/common/world.js';
import { findSameItemInOtherJobs } from './textReuse.js';
import type { JobItemRow, JobRow } from './jobTables.js';

interface Group {
  readonly name: string;
  /** Expected output tokens of its longest item. */
  readonly longest: number;
}

const groupsOf = (items: readonly JobItemRow[]): Group[] => {
  const longestByGroup = new Map<string, number>();
  items.forEach(({ group, expectedTokens }) =>
    longestByGroup.set(group, Math.max(longestByGroup.get(group) ?? 0, expectedTokens ?? 0)),
  );
  return [...longestByGroup].map(([name, tokens]) => ({ name, longest: tokens }));
};

/** Returns the names of the spare groups of a job. */
export const spareGroupsOf = (world: World, job: JobRow): ReadonlySet<string> => {
  const items = world.jobItems.where('job', job.id);
  const groups = groupsOf(items);
  const resubmittedGroups = new Set(
    items
      .filter((item) => findSameItemInOtherJobs(world, job, item).length > 0)
      .map(({ group }) => group),
  );
  const spareGroups = groups
    .filter(({ name }) => !resubmittedGroups.has(name))
    .sort((first, second) => second.longest - first.longest)
    .slice(0, Math.max(0, groups.length - job.groupCount));
  return new Set(spareGroups.map(({ name }) => name));
};
