/**
 * Control daemons whose VM the operator is about to remove. The rows are replicated and are the
 * same on all voters.
 */
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { DaemonId } from '../../world/common/identifiers.js';

export interface RetirementRow {
  readonly id: DaemonId;
  /** Name of its VM, as used by the operator. */
  readonly label: string;
}

export const createRetirementTables = () => ({
  retirements: createTable<RetirementRow>({ name: 'retirements', indices: {}, deadlines: {} }),
});
