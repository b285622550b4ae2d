/** The sets of voters in the log of a daemon, for tests of their changes. */
import type { World } from '../../../world/common/world.js';
import { entryIdOf } from '../../common/replicaTables.js';
import { replicaOf } from '../../common/replicaLog.js';

/** Returns the sets of voters in the entries of a log, the oldest first. */
export const voterSetsOf = (world: World): readonly (readonly string[])[] => {
  const { lastIndex, compactedIndex } = replicaOf(world);
  return Array.from(
    { length: lastIndex - compactedIndex },
    (_, position) => world.logEntries.get(entryIdOf(compactedIndex + 1 + position))!.command,
  ).flatMap((command) => (command.kind === 'votersSet' ? [command.voters] : []));
};

const countMissing = (names: readonly string[], others: readonly string[]): number =>
  names.filter((name) => !others.includes(name)).length;

/** Describes the changes in the log of a daemon that add or remove more than one voter. */
export const findUnsafeChanges = (world: World): readonly string[] =>
  voterSetsOf(world).flatMap((voters, position, sets) => {
    const previous = sets[position - 1] ?? voters;
    const edits = countMissing(voters, previous) + countMissing(previous, voters);
    return edits > 1 ? [`${previous.join(',')} to ${voters.join(',')}`] : [];
  });
