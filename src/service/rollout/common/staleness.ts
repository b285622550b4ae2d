/**
 * The age of samples in weight versions. A sample is as old as its oldest tokens.
 */
import { oldestVersion } from '../../dispatch/common/versionSpans.js';
import type { VersionSpan } from '../../traffic/common/trafficTables.js';

/** What the age of a sample is measured against. */
export interface StalenessLimit {
  /** The weight version that the trainer runs. */
  readonly trainerVersion: number;
  /** Weight versions by which a sample may lag behind the trainer. */
  readonly stalenessBound: number;
}

/** Whether the oldest tokens lag behind the trainer by more than the bound; true where there are none. */
export const isStale = (spans: readonly VersionSpan[], limit: StalenessLimit): boolean => {
  const oldest = oldestVersion(spans);
  return oldest === undefined || oldest < limit.trainerVersion - limit.stalenessBound;
};
