/**
 * The table of evacuated availability zones. Only committed commands change it.
 */
import type { Brand } from '../../../base/common/brand.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';

export type ZoneId = Brand<'zone'>;

/** The last evacuation of a zone. The row stays after the withdrawal, because its index is needed. */
export interface EvacuationRow {
  /** Name of the zone. */
  readonly id: ZoneId;
  /** False once the evacuation was withdrawn. */
  readonly isInForce: boolean;
  /** Time of the request in milliseconds since the Unix epoch; for display only. */
  readonly at: number;
  /** Log index of the last change of this row. */
  readonly index: number;
}

/** Creates the table of evacuations. */
export const createEvacuationTables = () => ({
  evacuations: createTable<EvacuationRow>({ name: 'evacuations', indices: {}, deadlines: {} }),
});
