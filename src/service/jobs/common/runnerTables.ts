/**
 * Tables of the runners of jobs with home regions: when the leader looks at a job again, until when
 * this daemon is current as a runner, and how many runs the other runners have on each engine. All
 * rows are local; the appointed runner itself is a column of the replicated job.
 */
import * as z from 'zod';
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { DaemonId, UpstreamId } from '../../world/common/identifiers.js';
import type { JobId } from './jobTables.js';

/** When the leader decides on the runner of a job again. */
export interface RunnerCheckRow {
  readonly id: JobId;
  /** Whether an appointment was proposed; it is repeated only after the deadline. */
  readonly isProposed: boolean;
  readonly checkDeadline: Instant;
}

/** Wakes this daemon when it stops being current, so that it stops its runs at that time. */
export interface RunnerCurrencyRow {
  readonly id: Brand<'runnerCurrency'>;
  /** `never` while this daemon is the runner of no job. */
  readonly currencyDeadline: Instant;
}
export const runnerCurrencyId: RunnerCurrencyRow['id'] = asBrand('runnerCurrency');

/** Number of runs that another runner has on an engine. */
export interface EngineLoadRow {
  readonly id: Brand<'engineLoad'>;
  readonly runner: DaemonId;
  readonly upstream: UpstreamId;
  readonly count: number;
  /** Time until which it counts unless the runner reports again. */
  readonly loadDeadline: Instant;
}

/** What this daemon last reported of its runs, and when it reports next. */
export interface OwnLoadsRow {
  readonly id: Brand<'ownLoads'>;
  /** Names of the receivers of the last report, as one value. */
  readonly receivers: string;
  /** The loads of the last report, encoded as one value. */
  readonly loads: string;
  readonly reportedAt: Instant;
  readonly reportDeadline: Instant;
}
export const ownLoadsId: OwnLoadsRow['id'] = asBrand('ownLoads');

/** Number of runs that the sender has on each engine; engines that are not named have none. */
export const engineLoadsReportedSchema = z.object({
  kind: z.literal('engineLoadsReported'),
  loads: z.array(z.tuple([z.string(), z.number().int().nonnegative()])),
});
export type EngineLoadsReported = z.infer<typeof engineLoadsReportedSchema>;

export const createRunnerTables = () => ({
  runnerChecks: createTable<RunnerCheckRow, never, 'check'>({
    name: 'runnerChecks',
    indices: {},
    deadlines: { check: (row) => row.checkDeadline },
  }),
  runnerCurrency: createTable<RunnerCurrencyRow, never, 'currency'>({
    name: 'runnerCurrency',
    indices: {},
    deadlines: { currency: (row) => row.currencyDeadline },
  }),
  engineLoads: createTable<EngineLoadRow, 'runner' | 'upstream', 'load'>({
    name: 'engineLoads',
    indices: { runner: (row) => row.runner, upstream: (row) => row.upstream },
    deadlines: { load: (row) => row.loadDeadline },
  }),
  ownLoads: createTable<OwnLoadsRow, never, 'report'>({
    name: 'ownLoads',
    indices: {},
    deadlines: { report: (row) => row.reportDeadline },
  }),
});
