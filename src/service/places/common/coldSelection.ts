/**
 * Restricts the selection of an upstream to those to which a request can be sent now: warm ones, and
 * cold ones with a permit. A request that can only be sent to cold upstreams without one is noted
 * as demand, for which the cold system requests permits.
 */
import type { Instant } from '../../../base/common/time.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { hasPermit } from './coldPermits.js';
import { coldEndOf, coldLimitsOf, type ServiceColdLimits } from './coldState.js';

const selectFrom = (
  world: World,
  rows: readonly RegistrationRow[],
  limits: ServiceColdLimits,
  now: Instant,
): readonly RegistrationRow[] => {
  const warm = rows.filter((row) => coldEndOf(world, row, limits, now) <= now);
  return warm.length > 0 ? warm : rows.filter((row) => hasPermit(world, row, limits, now));
};

/**
 * Returns the upstreams among which one is selected. `choices` are lists of upstreams of one service
 * with free slots, the preferred list first; of the first list with a usable upstream, the warm ones are
 * returned, else those with a permit.
 */
export const selectSendable = (
  world: World,
  choices: readonly (readonly RegistrationRow[])[],
  now: Instant,
): readonly RegistrationRow[] => {
  const nonEmpty = choices.filter((rows) => rows.length > 0);
  const [wanted] = nonEmpty;
  const limits = wanted === undefined ? undefined : coldLimitsOf(world, wanted[0]!.service);
  if (wanted === undefined || limits === undefined) return wanted ?? [];
  const usable = nonEmpty
    .map((rows) => selectFrom(world, rows, limits, now))
    .find((rows) => rows.length > 0);
  if (usable !== undefined) return usable;
  world.coldDemands.append({ upstreams: wanted.map(({ id }) => id) });
  return [];
};
