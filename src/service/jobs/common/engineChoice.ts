/**
 * Reads what an engine can run: the weight versions that it holds and its free slots.
 */
import type { Instant } from '../../../base/common/time.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import type { JobRow } from './jobTables.js';

/**
 * Whether an engine holds a version that the job allows. An engine with an open weight order counts
 * as holding the ordered version once the expected load time has passed; it refuses an item whose
 * expected version it does not hold.
 */
export const canServeVersion = (
  world: World,
  row: RegistrationRow,
  job: JobRow,
  now: Instant,
): boolean => {
  const order = world.weightOrders.get(row.id);
  if (order?.model === job.model) {
    const isExpectedLoaded = order.loadedDeadline <= now && row.avoidDeadline <= now;
    return isExpectedLoaded && order.version >= job.minimumVersion;
  }
  const reportedModel = row.models.find(({ name }) => name === job.model);
  return reportedModel !== undefined && reportedModel.version >= job.minimumVersion;
};

/**
 * Returns the version that an open weight order makes an engine load, or null if there is no such
 * order. The reports of the engine may not show that version yet.
 */
export const expectedVersionOf = (
  world: World,
  row: RegistrationRow,
  job: JobRow,
): number | null => {
  const order = world.weightOrders.get(row.id);
  return order?.model === job.model ? order.version : null;
};

/** Returns the number of slots of an engine that no run of this daemon or another runner occupies. */
export const freeSlotsOf = (world: World, { id, slots }: RegistrationRow): number => {
  const ownFree = slots - world.runs.count('upstream', id);
  // Without runners there are no loads, and this is asked for each engine.
  if (world.engineLoads.count('upstream', id) === 0) return ownFree;
  return world.engineLoads.where('upstream', id).reduce((free, { count }) => free - count, ownFree);
};
