/**
 * The lookup table of all invariants, and the check of a recording against each of them.
 */
import type { Recording } from '../system/recording.js';
import { checkAgreedConfiguration, checkSingleOrders, checkSingleReports } from './control.js';
import type { Invariant, InvariantName, Violation } from './invariant.js';
import { checkHiddenKeys, checkKeyWithdrawal } from './keys.js';
import { checkGracefulShutdown, checkLeavingUpstream } from './lifecycle.js';
import {
  checkAtMostOnce,
  checkNotRunTrue,
  checkOwnWorkspace,
  checkWholeAnswer,
} from './requests.js';
import { checkSampleBound, checkSampleOnce, checkSampleVersions } from './samples.js';

/** The function of each invariant; a missing one is a compile error. */
export const invariants: Readonly<Record<InvariantName, Invariant>> = {
  sampleVersions: checkSampleVersions,
  sampleBound: checkSampleBound,
  sampleOnce: checkSampleOnce,
  ownWorkspace: checkOwnWorkspace,
  hiddenKeys: checkHiddenKeys,
  keyWithdrawal: checkKeyWithdrawal,
  singleOrders: checkSingleOrders,
  singleReports: checkSingleReports,
  wholeAnswer: checkWholeAnswer,
  notRunTrue: checkNotRunTrue,
  atMostOnce: checkAtMostOnce,
  leavingUpstream: checkLeavingUpstream,
  gracefulShutdown: checkGracefulShutdown,
  agreedConfiguration: checkAgreedConfiguration,
};

/** Checks a recording against every invariant and returns all violations. */
export const checkInvariants = (recording: Recording): readonly Violation[] =>
  Object.values(invariants).flatMap((invariant) => invariant(recording));
