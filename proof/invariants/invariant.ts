/**
 * Names and types of the invariants that hold in every run. An invariant is a pure function that takes a
 * recording and returns its violations; an empty list means that the invariant holds.
 */
import type { ValueOf } from '../../src/base/common/handlers.js';
import type { Recording } from '../system/recording.js';

export const InvariantName = {
  SampleVersions: 'sampleVersions',
  SampleBound: 'sampleBound',
  SampleOnce: 'sampleOnce',
  OwnWorkspace: 'ownWorkspace',
  HiddenKeys: 'hiddenKeys',
  KeyWithdrawal: 'keyWithdrawal',
  SingleOrders: 'singleOrders',
  SingleReports: 'singleReports',
  WholeAnswer: 'wholeAnswer',
  NotRunTrue: 'notRunTrue',
  AtMostOnce: 'atMostOnce',
  LeavingUpstream: 'leavingUpstream',
  GracefulShutdown: 'gracefulShutdown',
  AgreedConfiguration: 'agreedConfiguration',
} as const;
export type InvariantName = ValueOf<typeof InvariantName>;

/** One violation of an invariant. */
export interface Violation {
  readonly invariant: InvariantName;
  /** Identifiers of the affected rows; a report filters the timeline by them. */
  readonly subjects: readonly string[];
  readonly message: string;
}

/** A check of a recording; returns all violations. */
export type Invariant = (recording: Recording) => readonly Violation[];

/** Returns a function that creates violations of `invariant`; subjects that are null are dropped. */
export const createViolationFactory =
  (invariant: InvariantName) =>
  (message: string, ...subjects: (string | null)[]): Violation => ({
    invariant,
    message,
    subjects: subjects.filter((subject) => subject !== null),
  });
