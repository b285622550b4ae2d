/**
 * The tables of cold upstreams. All rows are local to a daemon: what it believes about upstreams of
 * services with cold starts, the permits that it holds and has requested, and, on the leader, the
 * permits that it has granted.
 */
import type { Brand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { UpstreamId } from '../../world/common/identifiers.js';

/** Value of the index `cold` for all cold upstreams. */
export const coldGroup = 'cold';

/** What this daemon believes about an upstream of a service with cold starts. */
export interface ColdStateRow {
  readonly id: UpstreamId;
  readonly startedAt: number;
  readonly isCold: boolean;
  /** Time of the last change of `isCold`. */
  readonly since: Instant;
  /** Time at which the belief may change without a report. */
  readonly reviewDeadline: Instant;
}

/** An availability zone whose upstreams may have become cold at one time. */
export interface ColdZoneRow {
  readonly id: Brand<'coldZone'>;
  /** Time from which its upstreams count as cold for the time that their service declares. */
  readonly coldSince: Instant;
}

/** The single row by which a daemon notices that it was suspended. */
export interface ColdClockRow {
  readonly id: Brand<'coldClock'>;
  /** Time of the last tick. */
  readonly lastRunAt: Instant;
  /** Time until which reports that were held up while it was suspended may still arrive. */
  readonly doubtDeadline: Instant;
}

/** Permits that one grant gave to this daemon. */
export interface ColdPermitRow {
  readonly id: Brand<'coldPermit'>;
  readonly upstream: UpstreamId;
  /** Start of the upstream for which they hold. */
  readonly startedAt: number;
  /** Number of permits that are not used yet. */
  readonly count: number;
  /** Time from which they must not be used. */
  readonly permitDeadline: Instant;
}

/** The last request of this daemon for permits of an upstream. */
export interface ColdRequestRow {
  readonly id: UpstreamId;
  /** Identifier of the request while it has no answer; null afterwards. */
  readonly request: string | null;
  readonly startedAt: number;
  /** Number of permits that were requested and not answered. */
  readonly count: number;
  /** Time from which permits of this request must not be used. */
  readonly permitDeadline: Instant;
  /** Time from which permits of this upstream may be requested again. */
  readonly repeatDeadline: Instant;
}

/** The permits that this daemon granted for an upstream as the leader. */
export interface ColdBudgetRow {
  readonly id: UpstreamId;
  /** Time of each grant that counts, in the order of time. */
  readonly grants: readonly Instant[];
  /** Time at which the daemon that was refused last may ask again. */
  readonly refusedUntil: Instant;
  /** Whether a refusal has been logged since the budget was unused. */
  readonly isRefusing: boolean;
  /** Time from which no grant counts and no refused daemon is expected. */
  readonly retentionDeadline: Instant;
}

/** The single row with the leadership in which this daemon grants permits. */
export interface ColdLeadershipRow {
  readonly id: Brand<'coldLeadership'>;
  readonly term: number;
  /** Time from which permits are granted; those of earlier leaders have expired by then. */
  readonly grantDeadline: Instant;
}

/** A request that can be sent only with a permit for one of these upstreams. */
export interface ColdDemand {
  readonly upstreams: readonly UpstreamId[];
}

/** Creates the tables and queues of cold upstreams. */
export const createColdTables = () => ({
  coldStates: createTable<ColdStateRow, 'cold', 'review'>({
    name: 'coldStates',
    indices: { cold: ({ isCold }) => (isCold ? coldGroup : undefined) },
    deadlines: { review: (row) => row.reviewDeadline },
  }),
  coldZones: createTable<ColdZoneRow>({ name: 'coldZones', indices: {}, deadlines: {} }),
  coldClocks: createTable<ColdClockRow>({ name: 'coldClocks', indices: {}, deadlines: {} }),
  coldPermits: createTable<ColdPermitRow, 'upstream', 'permit'>({
    name: 'coldPermits',
    indices: { upstream: (row) => row.upstream },
    deadlines: { permit: (row) => row.permitDeadline },
  }),
  coldRequests: createTable<ColdRequestRow, never, 'repeat'>({
    name: 'coldRequests',
    indices: {},
    deadlines: { repeat: (row) => row.repeatDeadline },
  }),
  coldBudgets: createTable<ColdBudgetRow, never, 'retention'>({
    name: 'coldBudgets',
    indices: {},
    deadlines: { retention: (row) => row.retentionDeadline },
  }),
  coldLeaderships: createTable<ColdLeadershipRow, never, 'grant'>({
    name: 'coldLeaderships',
    indices: {},
    deadlines: { grant: (row) => row.grantDeadline },
  }),
  coldDemands: createRowQueue<ColdDemand>('coldDemands', RowReader.System),
});
