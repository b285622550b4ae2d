/**
 * What must hold in every run, by short names. Each is one function over a recording that returns what
 * breaks it; an empty list means that it holds.
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

/** One thing that breaks an invariant. */
export interface Violation {
  readonly invariant: InvariantName;
  /** Identifiers of the rows concerned, by which the time line is filtered. */
  readonly subjects: readonly string[];
  readonly message: string;
}

export type Invariant = (recording: Recording) => readonly Violation[];

/** Makes the function that writes violations of one invariant. */
export const createViolationFactory =
  (invariant: InvariantName) =>
  (message: string, ...subjects: (string | null)[]): Violation => ({
    invariant,
    message,
    subjects: subjects.filter((subject) => subject !== null),
  });
