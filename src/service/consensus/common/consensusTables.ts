/**
 * The interface between the replicated log and the components that use it. Components append
 * proposals and read outcomes and committed entries. They must not depend on how entries are
 * replicated and stored.
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
 * A command that a component of this daemon proposes for the log. The identifier is stored in the
 * replicated state, so that a proposal that is sent twice is applied once and keeps its first
 * outcome.
 */
export interface Proposal {
  readonly id: ProposalId;
  readonly command: Command;
  /**
   * Time until which the proposer waits. Afterwards the outcome is `unknown`, or `rejected` if the
   * proposal was never sent.
   */
  readonly proposalDeadline: Instant;
}

/** Reason why a command was not committed, or was committed but not executed. */
export interface Rejection {
  /** Error kind defined by the component, such as `revisionMismatch`. */
  readonly kind: string;
  /** Description of the error that includes the remedy. */
  readonly message: string;
}

/** Outcome of a proposal. */
export type ProposalOutcome =
  | {
      readonly kind: 'applied';
      /** Log index, which is also the fencing token of orders that result from the command. */
      readonly index: number;
    }
  /** The command has no effect: it was rejected when applied, or was never appended to the log. */
  | { readonly kind: 'rejected'; readonly rejection: Rejection }
  /** The command may have been applied; it is safe to resend it under the same identifier. */
  | { readonly kind: 'unknown' };

/** Outcome of a proposal, retained for the proposer that waits for it. */
export interface ProposalOutcomeRow {
  readonly id: ProposalId;
  readonly outcome: ProposalOutcome;
  readonly retentionDeadline: Instant;
}

/** A committed entry. This daemon applies committed entries in the order of the queue. */
export interface CommittedEntry {
  readonly index: number;
  readonly term: number;
  readonly proposal: ProposalId;
  /** Name of the daemon that proposed it. */
  readonly origin: string;
  readonly command: Command;
}

/** Identifier of the single row of the table `leadership`. */
export const leadershipId: Brand<'leadership'> = 'leadership' as Brand<'leadership'>;

/** The current leader as known to this daemon, and what this daemon may do. */
export interface LeadershipRow {
  readonly id: Brand<'leadership'>;
  readonly term: number;
  readonly leader: DaemonId | null;
  readonly isSelf: boolean;
  /** Time until which this daemon can act as leader; `-Infinity` if it is not the leader. */
  readonly leaseDeadline: Instant;
  /**
   * Fencing token of orders: the log index of the applied `leadershipTaken` entry of this term; 0
   * while this daemon must not send orders.
   */
  readonly fencing: number;
  /** Index of the last entry that this daemon has applied. */
  readonly appliedIndex: number;
  /** Time until which the configuration of this daemon counts as up to date. */
  readonly freshnessDeadline: Instant;
}

/** Initial value: no leader is known and no entry has been applied. */
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

/**
 * Kind of the rejection of a proposal that no leader has received. Nothing was submitted, so the
 * same proposal may be applied when it is sent again.
 */
export const noLeaderKind = 'noLeader';

const isFinalOutcome = (outcome: ProposalOutcome): boolean =>
  outcome.kind === 'applied' ||
  (outcome.kind === 'rejected' && outcome.rejection.kind !== noLeaderKind);

/**
 * Records the outcome of a proposal. A final outcome is never overwritten. The proposer reads the
 * changes of the table, so the row of a rejection is put again for a proposal that was sent again.
 */
export const recordOutcome = (
  { proposalOutcomes }: ConsensusTables,
  proposal: ProposalId,
  outcome: ProposalOutcome,
  now: Instant,
): void => {
  const existing = proposalOutcomes.get(proposal)?.outcome;
  if (existing?.kind === 'applied') return;
  const recorded = existing !== undefined && isFinalOutcome(existing) ? existing : outcome;
  const retentionDeadline = deadlineAfter(now, outcomeRetentionMilliseconds);
  proposalOutcomes.put({ id: proposal, outcome: recorded, retentionDeadline });
};
