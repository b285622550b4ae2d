/**
 * Groups that a job can do without. A trainer waits for so many groups, whichever are complete first, so the
 * groups with the longest items are begun last. Those that come again from an earlier job are waited for.
 */
import type { World } from '../../world/common/world.js';
import { findSameItemInOtherJobs } from './textReuse.js';
import type { JobItemRow, JobRow } from './jobTables.js';

interface Group {
  readonly name: string;
  /** Tokens that its longest item is expected to make. */
  readonly longest: number;
}

const groupsOf = (items: readonly JobItemRow[]): Group[] => {
  const longestByGroup = new Map<string, number>();
  items.forEach(({ group, expectedTokens }) =>
    longestByGroup.set(group, Math.max(longestByGroup.get(group) ?? 0, expectedTokens ?? 0)),
  );
  return [...longestByGroup].map(([name, tokens]) => ({ name, longest: tokens }));
};

/** The names of the groups of a job that are begun last. */
export const spareGroupsOf = (world: World, job: JobRow): ReadonlySet<string> => {
  const items = world.jobItems.where('job', job.id);
  const groups = groupsOf(items);
  const resumedGroups = new Set(
    items
      .filter((item) => findSameItemInOtherJobs(world, job, item).length > 0)
      .map(({ group }) => group),
  );
  const spareGroups = groups
    .filter(({ name }) => !resumedGroups.has(name))
    .sort((first, second) => second.longest - first.longest)
    .slice(0, Math.max(0, groups.length - job.groupCount));
  return new Set(spareGroups.map(({ name }) => name));
};
