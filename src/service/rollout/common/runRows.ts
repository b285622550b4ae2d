/**
 * The rows of rollouts that are local to one daemon and not replicated: sample runs and concurrency
 * windows of its own lots, deadlines of all lots, fetches and submissions of its trainers, and its
 * pending ledger proposals.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type { ProposalId } from '../../consensus/common/consensusTables.js';
import type { VersionSpan } from '../../traffic/common/trafficTables.js';
import type {
  AttemptId,
  BatchId,
  BodyId,
  FetchId,
  GroupId,
  LotId,
  RequestId,
  SampleId,
  WorkspaceName,
} from '../../world/common/identifiers.js';
import type { Refusal } from '../../traffic/common/refusal.js';
import type { LedgerCommand } from './ledgerCommands.js';
import type { LotOpened } from './putLot.js';

/** The deadlines of a lot on this daemon's clock. */
export interface LotClockRow {
  readonly id: LotId;
  /** Time at which the lot fails; `never` once it is acknowledged or has failed. */
  readonly lotDeadline: Instant;
  /** Time at which the lot is removed. */
  readonly retentionDeadline: Instant;
}

/** States of a sample run. */
export const RunState = {
  /** Has no request until its `runDeadline`. */
  Waiting: 'waiting',
  Running: 'running',
  /** The answer is complete, and the text is being written to two disks. */
  Storing: 'storing',
  /** The text is on two disks, but the ledger has not yet recorded the completion. */
  Stored: 'stored',
} as const;
export type RunState = ValueOf<typeof RunState>;

/** One execution of a sample on the daemon that owns its lot. */
export interface SampleRunRow {
  readonly id: SampleId;
  readonly lot: LotId;
  readonly group: GroupId;
  readonly state: RunState;
  readonly runDeadline: Instant;
  readonly request: RequestId | null;
  readonly attempt: AttemptId | null;
  readonly spans: readonly VersionSpan[];
}

/** States of a fetch. */
export const FetchState = {
  Arrived: 'arrived',
  /** No batch is ready yet; the answer waits until the deadline of the fetch. */
  Waiting: 'waiting',
  /** The batch is assigned, and its texts are being read. */
  Collecting: 'collecting',
  Ready: 'ready',
  /** Every batch of the lot is acknowledged; there is no further batch. */
  Ended: 'ended',
  NotReady: 'notReady',
  Refused: 'refused',
  /** The lot has failed. */
  Failed: 'failed',
  /** A text could not be read from any of its replica holders. */
  Unavailable: 'unavailable',
  /** The ledger did not confirm the fetch before `ledgerDeadline`. */
  LedgerTimedOut: 'ledgerSilent',
} as const;
export type FetchState = ValueOf<typeof FetchState>;

/** A trainer's request for the batch of a cursor. */
export interface FetchRow {
  readonly id: FetchId;
  readonly lot: LotId;
  readonly workspace: WorkspaceName;
  readonly cursor: number;
  readonly trainerVersion: number | null;
  readonly state: FetchState;
  /** Time until which the answer may wait for a batch. */
  readonly fetchDeadline: Instant;
  /** Time at which the fetch fails unless the ledger has confirmed it. */
  readonly ledgerDeadline: Instant;
  readonly batch: BatchId | null;
  /**
   * Whether a command that was proposed after the fetch arrived has been applied on this daemon.
   */
  readonly isConfirmed: boolean;
}

/** States of a submission. */
export const SubmissionState = {
  /** The prompts are being written to two disks. */
  Storing: 'storing',
  /** The command that opens the lot is proposed to the ledger. */
  Proposed: 'proposed',
  Opened: 'opened',
  Refused: 'refused',
} as const;
export type SubmissionState = ValueOf<typeof SubmissionState>;

/** A trainer's request to this daemon to open a lot. */
export interface SubmissionRow {
  readonly id: LotId;
  readonly command: LotOpened;
  readonly body: BodyId;
  readonly state: SubmissionState;
  readonly refusal: Refusal | null;
  /** Time at which the submission is refused because the ledger has not answered. */
  readonly submissionDeadline: Instant;
}

/** The purpose of a proposal; a lot has at most one proposal of each purpose at a time. */
export const ProposalPurpose = {
  Open: 'open',
  Complete: 'complete',
  Deliver: 'deliver',
  Fail: 'fail',
  TakeOver: 'takeOver',
  Drop: 'drop',
} as const;
export type ProposalPurpose = ValueOf<typeof ProposalPurpose>;

/** The maximum number of samples of a lot that its owner runs concurrently. */
export interface LotWindowRow {
  readonly id: LotId;
  readonly samples: number;
  /** Time at which the maximum is recomputed. */
  readonly windowDeadline: Instant;
}

/**
 * A proposal of this daemon whose outcome is pending, or that was rejected and is in its backoff.
 */
export interface LedgerProposalRow {
  readonly id: ProposalId;
  readonly lot: LotId;
  readonly purpose: ProposalPurpose;
  readonly command: LedgerCommand;
  /** Fetches that arrived before the proposal was made; its application confirms them. */
  readonly fetches: readonly FetchId[];
  /** Whether it was rejected; such a row only delays the next proposal of the same purpose. */
  readonly isRejected: boolean;
  /** Time at which the proposal is resent, or removed if it was rejected. */
  readonly resendDeadline: Instant;
}
