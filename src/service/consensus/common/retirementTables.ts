/**
 * Control daemons whose VM the operator wants to take away: agreed rows, equal on all voters.
 */
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { DaemonId } from '../../world/common/identifiers.js';

export interface RetirementRow {
  readonly id: DaemonId;
  /** Name of the VM by which the operator knows it. */
  readonly label: string;
}

export const createRetirementTables = () => ({
  retirements: createTable<RetirementRow>({ name: 'retirements', indices: {}, deadlines: {} }),
});
