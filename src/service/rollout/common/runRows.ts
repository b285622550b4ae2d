/**
 * The rows of rollouts that belong to one daemon: what its own lots run, when they fall due, what its
 * trainers ask for, and what it has proposed to the ledger.
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
  /** When the lot fails; `never` once it is delivered or has failed. */
  readonly lotDeadline: Instant;
  /** When the lot is forgotten. */
  readonly retentionDeadline: Instant;
}

export const RunState = {
  /** Has no request until its deadline. */
  Waiting: 'waiting',
  Running: 'running',
  /** Has its answer; the text is being written to two disks. */
  Storing: 'storing',
  /** The text is on two disks; the ledger does not say so yet. */
  Stored: 'stored',
} as const;
export type RunState = ValueOf<typeof RunState>;

/** A sample that the owner of its lot runs. */
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

export const FetchState = {
  Arrived: 'arrived',
  /** Nothing is ready yet; the answer waits until the deadline of the fetch. */
  Waiting: 'waiting',
  /** The batch is known; its texts are being read. */
  Collecting: 'collecting',
  Ready: 'ready',
  /** Every batch of the lot is acknowledged. */
  Ended: 'ended',
  NotReady: 'notReady',
  Refused: 'refused',
  /** The lot has failed. */
  Failed: 'failed',
  /** No holder of a text answers. */
  Unavailable: 'unavailable',
  /** The ledger has not confirmed the question in time. */
  LedgerTimedOut: 'ledgerSilent',
} as const;
export type FetchState = ValueOf<typeof FetchState>;

/** A trainer's question for the batch of a cursor. */
export interface FetchRow {
  readonly id: FetchId;
  readonly lot: LotId;
  readonly workspace: WorkspaceName;
  readonly cursor: number;
  readonly trainerVersion: number | null;
  readonly state: FetchState;
  /** Until when the answer waits for a batch. */
  readonly fetchDeadline: Instant;
  /** Until when the ledger must have confirmed the question. */
  readonly ledgerDeadline: Instant;
  readonly batch: BatchId | null;
  /** Whether a command that was proposed after the question has been applied here. */
  readonly isConfirmed: boolean;
}

export const SubmissionState = {
  /** The prompts are being written to two disks. */
  Storing: 'storing',
  /** The ledger is asked to open the lot. */
  Proposed: 'proposed',
  Opened: 'opened',
  Refused: 'refused',
} as const;
export type SubmissionState = ValueOf<typeof SubmissionState>;

/** A lot that a trainer asks this daemon to open. */
export interface SubmissionRow {
  readonly id: LotId;
  readonly command: LotOpened;
  readonly body: BodyId;
  readonly state: SubmissionState;
  readonly refusal: Refusal | null;
  /** When the trainer is told that the ledger does not answer. */
  readonly submissionDeadline: Instant;
}

/** What a proposal is for; a lot has at most one of each at a time. */
export const ProposalPurpose = {
  Open: 'open',
  Complete: 'complete',
  Deliver: 'deliver',
  Fail: 'fail',
  TakeOver: 'takeOver',
  Drop: 'drop',
} as const;
export type ProposalPurpose = ValueOf<typeof ProposalPurpose>;

/** How many samples of a lot its owner runs at once. */
export interface LotWindowRow {
  readonly id: LotId;
  readonly samples: number;
  /** When the number is worked out again. */
  readonly windowDeadline: Instant;
}

/** A proposal of this daemon whose outcome is not known. */
export interface LedgerProposalRow {
  readonly id: ProposalId;
  readonly lot: LotId;
  readonly purpose: ProposalPurpose;
  readonly command: LedgerCommand;
  /** Questions of trainers that were asked before it was proposed. */
  readonly fetches: readonly FetchId[];
  /** Whether it was rejected, and only delays the next one of its purpose. */
  readonly isRejected: boolean;
  /** When it is sent again, or forgotten where it was rejected. */
  readonly resendDeadline: Instant;
}
