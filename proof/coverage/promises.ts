/**
 * How many points the users list, of what must hold and of what may fail; the coverage check compares the
 * lists of the proof with them.
 */
import { InvariantName } from '../invariants/invariant.js';
import { Capability } from '../system/capabilities.js';

/** Points that must hold; each is an invariant of its own. */
export const promiseCount = 14;

/** The part of the product without which nothing is recorded that could break the promise. */
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

/** Promises that no scenario proves yet; docs/PROMISES.md lists them as such. */
export const unprovedPromises: readonly InvariantName[] = [
  InvariantName.SingleOrders,
  InvariantName.SingleReports,
];

/** Sentences of what may fail, by the failures that each names. */
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
