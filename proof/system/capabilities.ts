/**
 * Which parts of the product the proof can drive. A scenario step or a cell of the fault matrix that needs
 * a part which is not built is reported as not built, and never as passed.
 */
import type { ValueOf } from '../../src/base/common/handlers.js';

export const Capability = {
  /** Requests of callers, attempts, retries and refusals. */
  Traffic: 'traffic',
  /** Lots, samples and batches. */
  Rollout: 'rollout',
  /** Leaving, draining and coming back of daemons. */
  Shutdown: 'shutdown',
  /** Edits of the settings tree by the replicated log, and the withdrawal of keys. */
  Edits: 'edits',
  /** Refusal of keyed work where the configuration may be out of date. */
  FreshKeys: 'freshKeys',
  /** Quarantine of requests that crash the upstreams which run them. */
  Quarantine: 'quarantine',
  /** Orders to the platform by an elected leader. */
  Orders: 'orders',
  /** Reports of usage windows. */
  UsageReports: 'usageReports',
  /** Releases of weights that the product orders. */
  WeightReleases: 'weightReleases',
  /** Replacement of a member of the replicated log. */
  MembershipChanges: 'membershipChanges',
} as const;
export type Capability = ValueOf<typeof Capability>;

/** Whether the proof drives each part. */
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
