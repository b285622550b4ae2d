/**
 * Applies the committed commands of metering to the replicated usage windows.
 */
import { ok } from 'neverthrow';
import type { ApplyHandlers } from '../../consensus/common/applyHandlers.js';
import type { World } from '../../world/common/world.js';
import type { MeteringCommand, UsageCounts } from './meteringCommands.js';
import { addCounts, usageWindowIdOf, WindowState, type UsageWindowRow } from './meteringTables.js';

/** Number of reported windows that are kept, so that late commands still find their window. */
const retainedWindowCount = 64;

const ensureWindowRow = (world: World, window: number): UsageWindowRow =>
  world.usageWindows.get(usageWindowIdOf(window)) ??
  world.usageWindows.put({
    id: usageWindowIdOf(window),
    window,
    state: WindowState.Open,
    counts: {},
  });

/** Returns the first open window from `window` on, and creates the windows that do not exist. */
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
  // Counts that arrive after their window was frozen are added to the next open one, not lost.
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
