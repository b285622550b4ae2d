/**
 * Computes the concurrency window of each lot this daemon runs: the lot's share of the slots of its
 * service, by the weight of its workspace among all open lots, plus a margin so that a free slot
 * always finds a waiting sample. Samples outside the window exist only as rows, whatever the size
 * of the lot. Each window is recomputed every `windowIntervalMilliseconds`.
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
/** Target number of samples per slot, including the running one. */
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

/** Computes the maximum number of samples of a lot that run concurrently. */
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

/** Creates the system that recomputes concurrency windows. */
export const createWindowSystem = (world: World): System => ({
  name: 'window',
  run: (now) =>
    world.lotWindows.takeDue('window', now).forEach((row) => updateWindow(world, row.id, now)),
});
