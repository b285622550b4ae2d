/**
 * Tables of usage by workspace and wall-clock window: the counts of this daemon that are not yet
 * replicated, and the replicated windows.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { World } from '../../world/common/world.js';
import type { UsageCounts } from './meteringCommands.js';

export const WindowState = {
  /** Accepts counts. */
  Open: 'open',
  /** The counts are final and the report is due. */
  Frozen: 'frozen',
  Reported: 'reported',
} as const;
export type WindowState = ValueOf<typeof WindowState>;

export type UsageWindowId = Brand<'usageWindow'>;
export const usageWindowIdOf = (window: number): UsageWindowId => asBrand(String(window));

/** The replicated row of a window. */
export interface UsageWindowRow {
  readonly id: UsageWindowId;
  readonly window: number;
  readonly state: WindowState;
  readonly counts: UsageCounts;
}

/** Counts of this daemon in a window that it has not yet proposed. */
export interface OwnCountRow {
  readonly id: UsageWindowId;
  readonly window: number;
  readonly counts: UsageCounts;
}

/** The report of a window that this daemon sends as the leader. */
export interface UsageReportRow {
  readonly id: UsageWindowId;
  readonly window: number;
  readonly counts: UsageCounts;
  readonly fencing: number;
  readonly isInFlight: boolean;
  /** Time at which the report is sent or resent. */
  readonly sendDeadline: Instant;
}

/** The outcome of sending a report. */
export type ReportFact =
  | { readonly kind: 'accepted'; readonly window: number }
  | { readonly kind: 'failed'; readonly window: number; readonly reason: string };

/** The single row with the time of the next check of the windows. */
export interface MeteringClockRow {
  readonly id: Brand<'meteringClock'>;
  readonly checkDeadline: Instant;
}

export const createMeteringTables = () => ({
  usageWindows: createTable<UsageWindowRow, 'state'>({
    name: 'usageWindows',
    indices: { state: (row) => row.state },
    deadlines: {},
  }),
  ownCounts: createTable<OwnCountRow>({ name: 'ownCounts', indices: {}, deadlines: {} }),
  usageReports: createTable<UsageReportRow, never, 'send'>({
    name: 'usageReports',
    indices: {},
    deadlines: { send: (row) => (row.isInFlight ? never : row.sendDeadline) },
  }),
  reportFacts: createRowQueue<ReportFact>('reportFacts', RowReader.System),
  meteringClock: createTable<MeteringClockRow, never, 'check'>({
    name: 'meteringClock',
    indices: {},
    deadlines: { check: (row) => row.checkDeadline },
  }),
});

/** Returns the sum of two counts for each workspace. */
export const addCounts = (first: UsageCounts, second: UsageCounts): UsageCounts => {
  const sum: Record<string, number> = { ...first };
  Object.entries(second).forEach(([workspace, count]) => {
    sum[workspace] = (sum[workspace] ?? 0) + count;
  });
  return sum;
};

/** Counts one request that an upstream has run, or may have run, in the current window. */
export const countMeteredRequest = (world: World, workspace: string | null): void => {
  const { metering } = world.fleet;
  if (workspace === null || metering === null) return;
  const window = Math.floor(world.wallNow() / metering.windowMilliseconds);
  const id = usageWindowIdOf(window);
  const counts = addCounts(world.ownCounts.get(id)?.counts ?? {}, { [workspace]: 1 });
  world.ownCounts.put({ id, window, counts });
};
