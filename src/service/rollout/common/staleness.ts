/**
 * Staleness of samples, measured in weight versions. The age of a sample is that of its oldest
 * tokens.
 */
import { oldestVersion } from '../../dispatch/common/versionSpans.js';
import type { VersionSpan } from '../../traffic/common/trafficTables.js';

/** The reference version and bound against which the age of a sample is checked. */
export interface StalenessLimit {
  /** The weight version that the trainer runs. */
  readonly trainerVersion: number;
  /** Maximum number of weight versions by which a sample may lag behind the trainer. */
  readonly stalenessBound: number;
}

/**
 * Whether the oldest tokens lag behind the trainer by more than the bound; true if there are no
 * tokens.
 */
export const isStale = (spans: readonly VersionSpan[], limit: StalenessLimit): boolean => {
  const oldest = oldestVersion(spans);
  return oldest === undefined || oldest < limit.trainerVersion - limit.stalenessBound;
};
