/**
 * Until when this daemon knows that its settings are those in force, as a row with a deadline.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { never, type Instant } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';

/** The only identifier in the table of freshness. */
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
