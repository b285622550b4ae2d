/**
 * Finds the bodies of items and of their scoring requests.
 */
import type { World } from '../../world/common/world.js';
import type { JobItemRow } from './jobTables.js';

/** Returns the request body of an item; undefined if this daemon does not hold it. */
export const findItemBody = (_world: World, item: JobItemRow): Uint8Array | undefined => item.body;

/** Returns the body of the scoring request of an item; undefined if there is none here. */
export const findScorerBody = (_world: World, item: JobItemRow): Uint8Array | undefined =>
  item.scorer?.body;
