/**
 * Use by workspace and window of the wall clock: what this daemon has counted, and what is agreed.
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
  /** Takes counts. */
  Open: 'open',
  /** Its counts are final and its report is due. */
  Frozen: 'frozen',
  Reported: 'reported',
} as const;
export type WindowState = ValueOf<typeof WindowState>;

export type UsageWindowId = Brand<'usageWindow'>;
export const usageWindowIdOf = (window: number): UsageWindowId => asBrand(String(window));

/** The agreed row of a window. */
export interface UsageWindowRow {
  readonly id: UsageWindowId;
  readonly window: number;
  readonly state: WindowState;
  readonly counts: UsageCounts;
}

/** What this daemon has counted in a window and not yet folded into the agreed state. */
export interface OwnCountRow {
  readonly id: UsageWindowId;
  readonly window: number;
  readonly counts: UsageCounts;
}

/** The report of a window that this daemon sends as leader. */
export interface UsageReportRow {
  readonly id: UsageWindowId;
  readonly window: number;
  readonly counts: UsageCounts;
  readonly fencing: number;
  readonly isInFlight: boolean;
  /** When it is sent, or sent again. */
  readonly sendDeadline: Instant;
}

/** What became of sending a report. */
export type ReportFact =
  | { readonly kind: 'accepted'; readonly window: number }
  | { readonly kind: 'failed'; readonly window: number; readonly reason: string };

/** When the windows are looked at again. */
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

/** Adds the counts of each workspace. */
export const addCounts = (first: UsageCounts, second: UsageCounts): UsageCounts => {
  const sum: Record<string, number> = { ...first };
  Object.entries(second).forEach(([workspace, count]) => {
    sum[workspace] = (sum[workspace] ?? 0) + count;
  });
  return sum;
};

/** Counts one request that an upstream has begun to run, in the present window. */
export const countMeteredRequest = (world: World, workspace: string | null): void => {
  const { metering } = world.fleet;
  if (workspace === null || metering === null) return;
  const window = Math.floor(world.wallNow() / metering.windowMilliseconds);
  const id = usageWindowIdOf(window);
  const counts = addCounts(world.ownCounts.get(id)?.counts ?? {}, { [workspace]: 1 });
  world.ownCounts.put({ id, window, counts });
};
