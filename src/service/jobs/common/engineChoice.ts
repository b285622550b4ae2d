/**
 * What engines can run: the versions they hold and their free places.
 */
import type { Instant } from '../../../base/common/time.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import type { JobRow } from './jobTables.js';

/**
 * Whether an engine holds a version that the job allows. One that was ordered to load another is asked
 * once it should hold that one; it refuses an item that expects a version which it does not hold.
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

/** The version that an engine must hold although its reports do not show it yet. */
export const expectedVersionOf = (
  world: World,
  row: RegistrationRow,
  job: JobRow,
): number | null => {
  const order = world.weightOrders.get(row.id);
  return order?.model === job.model ? order.version : null;
};

/** Places of an engine that no run of this daemon has. */
export const freeSlotsOf = (world: World, row: RegistrationRow): number =>
  row.slots - world.runs.count('upstream', row.id);
