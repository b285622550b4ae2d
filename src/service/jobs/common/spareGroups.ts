/**
 * Groups that a job can do without. A trainer waits for so many groups, whichever are complete first, so the
 * groups with the longest items are begun last. Those that come again from an earlier job are waited for.
 */
import type { World } from '../../world/common/world.js';
import { earlierRows } from './textReuse.js';
import type { JobItemRow, JobRow } from './jobTables.js';

interface Group {
  readonly name: string;
  /** Tokens that its longest item is expected to make. */
  readonly longest: number;
}

const groupsOf = (items: readonly JobItemRow[]): Group[] => {
  const longest = new Map<string, number>();
  items.forEach(({ group, expectedTokens }) =>
    longest.set(group, Math.max(longest.get(group) ?? 0, expectedTokens ?? 0)),
  );
  return [...longest].map(([name, tokens]) => ({ name, longest: tokens }));
};

/** The names of the groups of a job that are begun last. */
export const spareGroupsOf = (world: World, job: JobRow): ReadonlySet<string> => {
  const items = world.jobItems.where('job', job.id);
  const groups = groupsOf(items);
  const awaited = new Set(
    items.filter((item) => earlierRows(world, job, item).length > 0).map(({ group }) => group),
  );
  const spare = groups
    .filter(({ name }) => !awaited.has(name))
    .sort((first, second) => second.longest - first.longest)
    .slice(0, Math.max(0, groups.length - job.groupCount));
  return new Set(spare.map(({ name }) => name));
};
