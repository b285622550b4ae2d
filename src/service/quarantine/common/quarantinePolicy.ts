/**
 * When requests are quarantined, by the profile of the installation.
 */
import { registeredProcesses, type ProcessDirectory } from './processDirectory.js';

/** When a request is quarantined. */
export interface QuarantinePolicy {
  /** Number of distinct process ends under a request at which it is quarantined. */
  readonly processEndThreshold: number;
  readonly directory: ProcessDirectory;
}

/**
 * Calls of declared routes. The users' rules allow a call to end three processes before it must
 * reach no other one.
 */
export const callQuarantinePolicy: QuarantinePolicy = {
  processEndThreshold: 3,
  directory: registeredProcesses,
};
