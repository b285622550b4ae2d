/**
 * The border between the replicated log and the subjects that use it. Subjects append proposals and read
 * outcomes and committed entries; how entries are agreed and stored is behind these tables.
 */
import type { Brand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { Command } from './command.js';

export type ProposalId = Brand<'proposal'>;

/**
 * A command that a subject of this daemon wants in the log. The identifier is remembered in the agreed
 * state, so that the same proposal sent twice is applied once and gets its first outcome again.
 */
export interface Proposal {
  readonly id: ProposalId;
  readonly command: Command;
  /** Until when the proposer waits; afterwards the outcome is `unknown`. */
  readonly proposalDeadline: Instant;
}

/** Why a command was not carried out although it was committed, or was not committed. */
export interface Rejection {
  /** A typed kind of the subject, such as `revisionMismatch`. */
  readonly kind: string;
  /** Names the remedy. */
  readonly message: string;
}

/** What became of a proposal. */
export type ProposalOutcome =
  | {
      readonly kind: 'applied';
      /** Position in the log: also the fencing number of orders that follow from it. */
      readonly index: number;
    }
  /** Certainly not in force: refused by the state, or never put into the log. */
  | { readonly kind: 'rejected'; readonly rejection: Rejection }
  /** May or may not be in force; the same proposal may be sent again under its identifier. */
  | { readonly kind: 'unknown' };

/** The outcome of a proposal, kept for those who wait for it. */
export interface ProposalOutcomeRow {
  readonly id: ProposalId;
  readonly outcome: ProposalOutcome;
  readonly retentionDeadline: Instant;
}

/** An entry that is committed, and is applied by this daemon in the order of the queue. */
export interface CommittedEntry {
  readonly index: number;
  readonly term: number;
  readonly proposal: ProposalId;
  /** Name of the daemon that proposed it. */
  readonly origin: string;
  readonly command: Command;
}

/** The only identifier in the table of leadership. */
export const leadershipId: Brand<'leadership'> = 'leadership' as Brand<'leadership'>;

/** Who leads, as this daemon knows it. */
export interface LeadershipRow {
  readonly id: Brand<'leadership'>;
  readonly term: number;
  readonly leader: DaemonId | null;
  readonly isSelf: boolean;
  /** Until when this daemon may act as leader; `-Infinity` where it does not lead. */
  readonly leaseDeadline: Instant;
  /** Log index of the `leadershipTaken` entry of this term, applied; the fencing number of orders. */
  readonly fencing: number;
  /** Index of the last entry that this daemon has applied. */
  readonly appliedIndex: number;
  /** Until when this daemon knows that its configuration is not out of date. */
  readonly freshnessDeadline: Instant;
}

/** A daemon that knows of no leader and has applied nothing. */
export const noLeadership: LeadershipRow = {
  id: leadershipId,
  term: 0,
  leader: null,
  isSelf: false,
  leaseDeadline: Number.NEGATIVE_INFINITY,
  fencing: 0,
  appliedIndex: 0,
  freshnessDeadline: Number.NEGATIVE_INFINITY,
};

export const createConsensusTables = () => ({
  proposals: createRowQueue<Proposal>('proposals', RowReader.System),
  proposalOutcomes: createTable<ProposalOutcomeRow, never, 'retention'>({
    name: 'proposalOutcomes',
    indices: {},
    deadlines: { retention: (row) => row.retentionDeadline },
  }),
  committedEntries: createRowQueue<CommittedEntry>('committedEntries', RowReader.System),
  leadership: createTable<LeadershipRow>({ name: 'leadership', indices: {}, deadlines: {} }),
});
export type ConsensusTables = ReturnType<typeof createConsensusTables>;

const outcomeRetentionMilliseconds = 30_000;

/** Records what became of a proposal, once; its proposer reads the changes of the table. */
export const recordOutcome = (
  { proposalOutcomes }: ConsensusTables,
  proposal: ProposalId,
  outcome: ProposalOutcome,
  now: Instant,
): void => {
  const existing = proposalOutcomes.get(proposal)?.outcome;
  if (existing !== undefined && existing.kind !== 'unknown') return;
  const retentionDeadline = deadlineAfter(now, outcomeRetentionMilliseconds);
  proposalOutcomes.put({ id: proposal, outcome, retentionDeadline });
};
