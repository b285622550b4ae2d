/**
 * Works out how many samples of a lot run at once: the share of the slots of its service that the weight
 * of its workspace gives it among all open lots, and a little more, so that a free slot finds a sample
 * that waits. The rest of a lot stays rows, whatever its size.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { effectivePolicy } from '../../configuration/common/tree.js';
import { UpstreamState } from '../../protocol/common/upstreamProtocol.js';
import type { LotId, ServiceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { LotState, type LotRow } from './ledgerRows.js';

const windowIntervalMilliseconds = 1_000;
/** Samples that are wanted for each slot, the running one included. */
const samplesPerSlot = 1.25;
const minimumWindow = 4;

const servingSlotsOf = (world: World, service: ServiceName): number =>
  world.upstreams
    .where('service', service)
    .filter((upstream) => upstream.state === UpstreamState.Serving)
    .reduce((sum, upstream) => sum + upstream.slots, 0);

const weightOf = (world: World, lot: LotRow): number => {
  const service = world.services.get(lot.service);
  if (service === undefined) return 1;
  const workspace = world.workspaces.get(lot.workspace)?.settings;
  return effectivePolicy(world.tree(), service.settings, workspace).weight;
};

const openLotsOf = (world: World, service: ServiceName): LotRow[] =>
  world.lots.where('state', LotState.Open).filter((lot) => lot.service === service);

/** Samples of the lot that may run at once. */
export const computeWindow = (world: World, lot: LotRow): number => {
  const lots = openLotsOf(world, lot.service);
  const totalWeight = lots.reduce((sum, other) => sum + weightOf(world, other), 0);
  const share = weightOf(world, lot) / Math.max(totalWeight, Number.MIN_VALUE);
  const samples = Math.ceil(servingSlotsOf(world, lot.service) * samplesPerSlot * share);
  return Math.max(minimumWindow, samples);
};

const updateWindow = (world: World, id: LotId, now: Instant): void => {
  const lot = world.lots.get(id);
  if (lot === undefined) {
    world.lotWindows.remove(id);
    return;
  }
  const windowDeadline = deadlineAfter(now, windowIntervalMilliseconds);
  world.lotWindows.change(asBrand(id), { samples: computeWindow(world, lot), windowDeadline });
};

/** Creates the system of windows. */
export const createWindowSystem = (world: World): System => ({
  name: 'window',
  run: (now) =>
    world.lotWindows.takeDue('window', now).forEach((row) => updateWindow(world, row.id, now)),
});
