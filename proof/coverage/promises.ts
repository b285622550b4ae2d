/**
 * The requirements of the users: the number of promises that must hold, and the failures that the
 * product must tolerate. The coverage test compares the invariants and failures of the proof with them.
 */
import { InvariantName } from '../invariants/invariant.js';
import { Capability } from '../system/capabilities.js';

/** Number of promises that the users require; each is one invariant. */
export const promiseCount = 14;

/** The capability of each promise, without which no recording can violate the promise. */
export const requiredCapabilities: Readonly<Record<InvariantName, Capability>> = {
  sampleVersions: Capability.Rollout,
  sampleBound: Capability.Rollout,
  sampleOnce: Capability.Rollout,
  ownWorkspace: Capability.Traffic,
  hiddenKeys: Capability.Traffic,
  keyWithdrawal: Capability.Edits,
  singleOrders: Capability.Orders,
  singleReports: Capability.UsageReports,
  wholeAnswer: Capability.Traffic,
  notRunTrue: Capability.Traffic,
  atMostOnce: Capability.Traffic,
  leavingUpstream: Capability.Traffic,
  gracefulShutdown: Capability.Shutdown,
  agreedConfiguration: Capability.Edits,
};

/** Promises that no scenario covers yet; docs/PROMISES.md marks them as not proved. */
export const unprovedPromises: readonly InvariantName[] = [
  InvariantName.SingleOrders,
  InvariantName.SingleReports,
];

/** The failures that each requirement of the users on fault tolerance names. */
export const failureRequirements = [
  ['engineCrash', 'daemonCrash', 'weightSwapFailure'],
  ['keyWithdrawal', 'reclaim'],
  ['controlPartition'],
  ['racingEdits', 'resentEdit'],
  ['secondLoss', 'lateRestart'],
  ['poisonousRequest'],
  ['silentConnection'],
  ['combination'],
] as const;
