/**
 * Applies the commands of metering to the agreed windows.
 */
import { ok } from 'neverthrow';
import type { ApplyHandlers } from '../../consensus/common/applyHandlers.js';
import type { World } from '../../world/common/world.js';
import type { MeteringCommand, UsageCounts } from './meteringCommands.js';
import { addCounts, usageWindowIdOf, WindowState, type UsageWindowRow } from './meteringTables.js';

/** Windows that are kept after their report, so that a late command finds them. */
const retainedWindowCount = 64;

const ensureWindowRow = (world: World, window: number): UsageWindowRow =>
  world.usageWindows.get(usageWindowIdOf(window)) ??
  world.usageWindows.put({
    id: usageWindowIdOf(window),
    window,
    state: WindowState.Open,
    counts: {},
  });

/** The first window from this one on that still takes counts. */
const ensureOpenWindow = (world: World, window: number): UsageWindowRow => {
  let row = ensureWindowRow(world, window);
  while (row.state !== WindowState.Open) row = ensureWindowRow(world, row.window + 1);
  return row;
};

const addToOpenWindow = (world: World, window: number, counts: UsageCounts): void => {
  const row = ensureOpenWindow(world, window);
  world.usageWindows.change(row.id, { counts: addCounts(row.counts, counts) });
};

export const meteringApplyHandlers: ApplyHandlers<MeteringCommand> = {
  // Counts that come after their window was frozen go to the next one, so that none is lost.
  usageCounted: ({ window, counts }, world) => {
    addToOpenWindow(world, window, counts);
    return ok(undefined);
  },
  usageFrozen: ({ window }, world) => {
    const row = ensureWindowRow(world, window);
    if (row.state === WindowState.Open) {
      world.usageWindows.change(row.id, { state: WindowState.Frozen });
    }
    return ok(undefined);
  },
  usageReported: ({ window }, world) => {
    world.usageWindows.change(usageWindowIdOf(window), { state: WindowState.Reported });
    world.usageWindows.remove(usageWindowIdOf(window - retainedWindowCount));
    return ok(undefined);
  },
};
