/**
 * The freshness of the settings of this daemon: whether they are known to be current, and the
 * deadline at which they become stale unless it is extended.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { never, type Instant } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';

/** Identifier of the single row of `freshness`. */
export const freshnessId: Brand<'freshness'> = asBrand('freshness');

export interface FreshnessRow {
  readonly id: Brand<'freshness'>;
  readonly isFresh: boolean;
  readonly freshnessDeadline: Instant;
}

export const createFreshnessTables = () => ({
  freshness: createTable<FreshnessRow, never, 'freshness'>({
    name: 'freshness',
    indices: {},
    deadlines: { freshness: (row) => (row.isFresh ? row.freshnessDeadline : never) },
  }),
});
export type FreshnessTables = ReturnType<typeof createFreshnessTables>;
