/**
 * Lists of usable entries, which control daemons send to the other entries, so that callers can
 * request address advice from any entry.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import {
  computeSuspicionTimeout,
  maximumIntervalMilliseconds,
} from '../../membership/common/contacts.js';
import type { AdvisedEntry } from '../../membership/common/membershipMessages.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import { listUsableEntries } from './adviseEntries.js';

/** Maximum number of entries in one message, equal to the maximum in an answer to a caller. */
const maximumEntries = 64;

const computeDistance = (from: DaemonRow, to: DaemonRow): number => {
  if (from.zone === to.zone) return 0;
  return from.region === to.region ? 1 : 2;
};

/** Selects the entries that a control daemon sends to another daemon, nearest first. */
export const selectEntriesFor = (world: World, receiver: DaemonRow): AdvisedEntry[] =>
  listUsableEntries(world)
    .sort((first, second) => computeDistance(receiver, first) - computeDistance(receiver, second))
    .slice(0, maximumEntries)
    .map(({ id: name, zone, region, callerAddress }) => ({ name, zone, region, callerAddress }));

/** Advised entries are kept as long as the control daemon that listed them is not suspected. */
const retentionMillisecondsOf = (world: World): Milliseconds =>
  computeSuspicionTimeout(world, maximumIntervalMilliseconds);

/** Replaces the advised entries by a received list, which is valid until the sender would be suspected. */
export const handleAdvisedEntries = (
  world: World,
  entries: readonly AdvisedEntry[],
  now: Instant,
): void => {
  const names = new Set<string>(entries.map(({ name }) => name));
  [...world.advisedEntries.rows()]
    .filter(({ id }) => !names.has(id))
    .forEach(({ id }) => world.advisedEntries.remove(id));
  const retentionDeadline = deadlineAfter(now, retentionMillisecondsOf(world));
  entries.forEach(({ name, ...fields }) =>
    world.advisedEntries.put({ ...fields, id: asBrand(name), retentionDeadline }),
  );
};

/** Extends the advised entries while the list from which they were taken has not changed. */
export const extendAdvisedEntries = (world: World, now: Instant): void => {
  const retentionDeadline = deadlineAfter(now, retentionMillisecondsOf(world));
  [...world.advisedEntries.rows()].forEach(({ id }) =>
    world.advisedEntries.change(id, { retentionDeadline }),
  );
};
