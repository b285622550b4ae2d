/**
 * The capabilities of the product that the proof can exercise. A scenario or a cell of the fault matrix
 * that needs a missing capability is reported as not built, and never as passed.
 */
import type { ValueOf } from '../../src/base/common/handlers.js';

export const Capability = {
  /** Requests of callers, with attempts, retries and refusals. */
  Traffic: 'traffic',
  /** Lots, samples and batches. */
  Rollout: 'rollout',
  /** Leaving, draining and restart of daemons. */
  Shutdown: 'shutdown',
  /** Edits of the settings tree through the replicated log, and the withdrawal of keys. */
  Edits: 'edits',
  /** Refusal of requests with keys while the configuration may be out of date. */
  FreshKeys: 'freshKeys',
  /** Quarantine of requests that crash the upstreams that run them. */
  Quarantine: 'quarantine',
  /** Orders to the platform by an elected leader. */
  Orders: 'orders',
  /** Reports of usage windows. */
  UsageReports: 'usageReports',
  /** Weight releases that the product orders. */
  WeightReleases: 'weightReleases',
  /** Replacement of a member of the replicated log. */
  MembershipChanges: 'membershipChanges',
} as const;
export type Capability = ValueOf<typeof Capability>;

/** Whether the proof can exercise each capability. */
export const isBuilt: Readonly<Record<Capability, boolean>> = {
  traffic: true,
  rollout: true,
  shutdown: true,
  edits: true,
  freshKeys: true,
  quarantine: true,
  orders: false,
  usageReports: false,
  weightReleases: false,
  membershipChanges: false,
};
