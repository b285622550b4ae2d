/**
 * When requests are quarantined, by the profile of the installation.
 */
import {
  announcedProcesses,
  registeredProcesses,
  type ProcessDirectory,
} from './processDirectory.js';

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

/**
 * Requests of the product's own interface, whose upstreams are engines with long runs: a second
 * process end is enough.
 */
export const requestQuarantinePolicy: QuarantinePolicy = {
  processEndThreshold: 2,
  directory: announcedProcesses,
};
