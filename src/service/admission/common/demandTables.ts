/**
 * The demand of each workspace on each entry: its number of waiting and running requests. Entries
 * divide workspace limits by these rows, so that a request needs no call to another entry.
 */
import type { Brand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { DaemonId, WorkspaceName } from '../../world/common/identifiers.js';

/** Requests of one workspace on another entry, according to its latest report. */
export interface DemandRow {
  readonly id: Brand<'demand'>;
  readonly daemon: DaemonId;
  readonly workspace: WorkspaceName;
  /** Number of waiting and running requests of callers. */
  readonly requests: number;
  /** Time at which the report expires unless it is renewed. */
  readonly expiryDeadline: Instant;
}

/** Sum of the requests of one workspace on all other entries. */
export interface OtherDemandRow {
  readonly id: WorkspaceName;
  readonly requests: number;
}

/** Identifier of the single row of `demandReports`. */
export const demandReportId: Brand<'demandReport'> = 'demandReport' as Brand<'demandReport'>;

/** Time at which this daemon sends its next report; `never` while it has no demand. */
export interface DemandReportRow {
  readonly id: Brand<'demandReport'>;
  readonly reportDeadline: Instant;
}

export const createDemandTables = () => ({
  demands: createTable<DemandRow, 'workspace' | 'daemon', 'expiry'>({
    name: 'demands',
    indices: { workspace: (row) => row.workspace, daemon: (row) => row.daemon },
    deadlines: { expiry: (row) => row.expiryDeadline },
  }),
  otherDemands: createTable<OtherDemandRow>({ name: 'otherDemands', indices: {}, deadlines: {} }),
  demandReports: createTable<DemandReportRow, never, 'report'>({
    name: 'demandReports',
    indices: {},
    deadlines: { report: (row) => row.reportDeadline },
  }),
});
export type DemandTables = ReturnType<typeof createDemandTables>;
