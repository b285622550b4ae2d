/**
 * Tables that limit retries: a retry budget for each workspace, and the fingerprints of requests
 * during which upstreams have crashed.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { UpstreamId, WorkspaceName } from '../../world/common/identifiers.js';

export type SuspectId = Brand<'suspect'>;

/** Returns the fingerprint of a request: its workspace and the digest of its bytes. */
export const suspectIdOf = (workspace: WorkspaceName | null, digest: string): SuspectId =>
  asBrand(`${workspace ?? ''}|${digest}`);

/** Number of retries available to a workspace; each new request increases it. */
export interface RetryBudgetRow {
  readonly id: WorkspaceName;
  readonly credit: number;
}

/** A request during which at least one upstream has crashed. */
export interface SuspectRow {
  readonly id: SuspectId;
  /** The distinct upstreams that crashed while they ran the request. */
  readonly upstreams: readonly UpstreamId[];
  /** Time at which the row is removed. */
  readonly expiryDeadline: Instant;
}

/** Number of distinct crashed upstreams at which a request is quarantined. */
export const quarantineCrashThreshold = 2;

export const isQuarantined = (row: SuspectRow | undefined): boolean =>
  row !== undefined && row.upstreams.length >= quarantineCrashThreshold;

export const createRetryTables = () => ({
  retryBudgets: createTable<RetryBudgetRow>({ name: 'retryBudgets', indices: {}, deadlines: {} }),
  suspects: createTable<SuspectRow, never, 'expiry'>({
    name: 'suspects',
    indices: {},
    deadlines: { expiry: (row) => row.expiryDeadline },
  }),
});
export type RetryTables = ReturnType<typeof createRetryTables>;
