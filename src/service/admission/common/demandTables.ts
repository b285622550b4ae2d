/**
 * How much each entry has of each workspace, by which limits are shared between entries without a call on
 * the path of a request.
 */
import type { Brand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { DaemonId, WorkspaceName } from '../../world/common/identifiers.js';

/** The requests of one workspace on another entry, by its last report. */
export interface DemandRow {
  readonly id: Brand<'demand'>;
  readonly daemon: DaemonId;
  readonly workspace: WorkspaceName;
  /** Requests of callers that wait or run there. */
  readonly requests: number;
  /** When the report counts no more unless it is renewed. */
  readonly expiryDeadline: Instant;
}

/** The requests of one workspace on all other entries. */
export interface OtherDemandRow {
  readonly id: WorkspaceName;
  readonly requests: number;
}

/** The only identifier in the table of reports. */
export const demandReportId: Brand<'demandReport'> = 'demandReport' as Brand<'demandReport'>;

/** When this daemon reports next; `never` while it has nothing to report. */
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
