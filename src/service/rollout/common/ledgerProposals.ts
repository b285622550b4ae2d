/**
 * Sends this daemon's proposals to the ledger and handles their outcomes. A lot has at most one
 * proposal of each purpose at a time; changes that happen in the meantime go into the next
 * proposal. A proposal is resent under the same identifier until its outcome is known. Runs each
 * tick.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import {
  leadershipId,
  type ProposalId,
  type ProposalOutcome,
} from '../../consensus/common/consensusTables.js';
import type { LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { LedgerCommand } from './ledgerCommands.js';
import type { LedgerProposalRow, ProposalPurpose } from './runRows.js';
import { completeSubmission, refuseRejectedSubmission } from './submissionOutcome.js';

const proposalTimeoutMilliseconds = 2_000;
/** Delay before a lot proposes for the same purpose after a rejection. */
const rejectionBackoffMilliseconds = 100;

const sendProposal = (world: World, row: LedgerProposalRow, now: Instant): void => {
  const proposalDeadline = deadlineAfter(now, proposalTimeoutMilliseconds);
  world.proposals.append({ id: row.id, command: row.command, proposalDeadline });
};

/** Whether a proposal of this purpose is pending or in its backoff after a rejection. */
export const isProposing = (world: World, lot: LotId, purpose: ProposalPurpose): boolean =>
  world.ledgerProposals.count('subject', `${lot}/${purpose}`) > 0;

/** Proposes a command unless the lot already has a proposal of this purpose. */
export const proposeOnce = (
  world: World,
  lot: LotId,
  purpose: ProposalPurpose,
  command: LedgerCommand,
  now: Instant,
): void => {
  if (isProposing(world, lot, purpose)) return;
  const row = world.ledgerProposals.put({
    id: world.identifiers.next<ProposalId>('proposal'),
    lot,
    purpose,
    command,
    fetches: world.fetches.where('lot', lot).map((fetch) => fetch.id),
    isRejected: false,
    resendDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
  });
  sendProposal(world, row, now);
};

const removeProposal = (world: World, row: LedgerProposalRow): void => {
  world.ledgerProposals.remove(row.id);
  // Marks the lot as changed, so that changes made while the proposal was pending are now proposed.
  world.lots.change(row.lot, {});
};

type OutcomeHandler = (world: World, row: LedgerProposalRow, now: Instant) => void;

const confirmFetches = (world: World, row: LedgerProposalRow): void =>
  row.fetches.forEach((fetch) => world.fetches.change(fetch, { isConfirmed: true }));

/** Handlers of proposal outcomes, by kind. */
const outcomeHandlers: Readonly<Record<ProposalOutcome['kind'], OutcomeHandler>> = {
  applied: (world, row) => {
    completeSubmission(world, row);
    confirmFetches(world, row);
    removeProposal(world, row);
  },
  rejected: (world, row, now) => {
    world.metrics.count('ledger.rejected', 1, { purpose: row.purpose });
    world.ledgerProposals.change(row.id, {
      isRejected: true,
      resendDeadline: deadlineAfter(now, rejectionBackoffMilliseconds),
    });
  },
  unknown: () => {},
};

/**
 * Returns the index of the last applied entry. The leader may report an outcome before this daemon
 * has applied the entry and updated its rows.
 */
const appliedIndexOf = (world: World): number =>
  world.leadership.get(leadershipId)?.appliedIndex ?? 0;

const handleOutcome = (world: World, id: ProposalId, now: Instant): void => {
  const row = world.ledgerProposals.get(id);
  const outcome = world.proposalOutcomes.get(id)?.outcome;
  if (row === undefined || row.isRejected || outcome === undefined) return;
  if (outcome.kind === 'applied' && outcome.index > appliedIndexOf(world)) return;
  outcomeHandlers[outcome.kind](world, row, now);
  if (outcome.kind === 'rejected') refuseRejectedSubmission(world, row, outcome.rejection);
};

const handleDueProposal = (world: World, row: LedgerProposalRow, now: Instant): void => {
  if (row.isRejected) {
    removeProposal(world, row);
    return;
  }
  const resendDeadline = deadlineAfter(now, proposalTimeoutMilliseconds);
  world.ledgerProposals.change(row.id, { resendDeadline });
  sendProposal(world, row, now);
};

/** Creates the system that handles outcomes of proposals and resends pending ones. */
export const createLedgerProposalSystem = (world: World): System => {
  const outcomeChanges = world.proposalOutcomes.createChangeReader();
  const leadershipChanges = world.leadership.createChangeReader();

  const handleDelayedOutcomes = (now: Instant): void => {
    if (leadershipChanges.take().length === 0) return;
    [...world.ledgerProposals.rows()].forEach((row) => handleOutcome(world, row.id, now));
  };

  return {
    name: 'ledgerProposal',
    run: (now) => {
      outcomeChanges.take().forEach((id) => handleOutcome(world, id, now));
      handleDelayedOutcomes(now);
      world.ledgerProposals
        .takeDue('resend', now)
        .forEach((row) => handleDueProposal(world, row, now));
    },
  };
};
