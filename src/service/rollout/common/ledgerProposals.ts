/**
 * Proposals of this daemon to the ledger. A lot has at most one proposal of each purpose at a time, so
 * that whatever comes meanwhile goes into the next one; the same proposal is sent again until its outcome
 * is known.
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
import { settleApplied, settleRejected } from './submissionOutcome.js';

const proposalMilliseconds = 2_000;
/** Time before a lot proposes again after a rejection. */
const rejectionPauseMilliseconds = 100;

const send = (world: World, row: LedgerProposalRow, now: Instant): void => {
  const proposalDeadline = deadlineAfter(now, proposalMilliseconds);
  world.proposals.append({ id: row.id, command: row.command, proposalDeadline });
};

/** Whether a proposal of this purpose is on its way or was rejected a moment ago. */
export const isProposing = (world: World, lot: LotId, purpose: ProposalPurpose): boolean =>
  world.ledgerProposals.count('subject', `${lot}/${purpose}`) > 0;

/** Proposes a command unless the lot has a proposal of this purpose already. */
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
    resendDeadline: deadlineAfter(now, proposalMilliseconds),
  });
  send(world, row, now);
};

const forget = (world: World, row: LedgerProposalRow): void => {
  world.ledgerProposals.remove(row.id);
  // The lot is looked at again: what came meanwhile may be proposed now.
  world.lots.change(row.lot, {});
};

type OutcomeHandler = (world: World, row: LedgerProposalRow, now: Instant) => void;

const confirmFetches = (world: World, row: LedgerProposalRow): void =>
  row.fetches.forEach((fetch) => world.fetches.change(fetch, { isConfirmed: true }));

/** What follows from each kind of outcome. */
const outcomeHandlers: Readonly<Record<ProposalOutcome['kind'], OutcomeHandler>> = {
  applied: (world, row) => {
    settleApplied(world, row);
    confirmFetches(world, row);
    forget(world, row);
  },
  rejected: (world, row, now) => {
    world.metrics.count('ledger.rejected', 1, { purpose: row.purpose });
    world.ledgerProposals.change(row.id, {
      isRejected: true,
      resendDeadline: deadlineAfter(now, rejectionPauseMilliseconds),
    });
  },
  unknown: () => {},
};

/** The leader may tell of an entry before this daemon has applied it; the rows here are older then. */
const appliedIndexOf = (world: World): number =>
  world.leadership.get(leadershipId)?.appliedIndex ?? 0;

const takeOutcome = (world: World, id: ProposalId, now: Instant): void => {
  const row = world.ledgerProposals.get(id);
  const outcome = world.proposalOutcomes.get(id)?.outcome;
  if (row === undefined || row.isRejected || outcome === undefined) return;
  if (outcome.kind === 'applied' && outcome.index > appliedIndexOf(world)) return;
  outcomeHandlers[outcome.kind](world, row, now);
  if (outcome.kind === 'rejected') settleRejected(world, row, outcome.rejection);
};

const takeDue = (world: World, row: LedgerProposalRow, now: Instant): void => {
  if (row.isRejected) {
    forget(world, row);
    return;
  }
  const resendDeadline = deadlineAfter(now, proposalMilliseconds);
  world.ledgerProposals.change(row.id, { resendDeadline });
  send(world, row, now);
};

/** Creates the system that follows proposals. */
export const createLedgerProposalSystem = (world: World): System => {
  const changes = world.proposalOutcomes.createChangeReader();
  const leadershipChanges = world.leadership.createChangeReader();

  const takeDelayed = (now: Instant): void => {
    if (leadershipChanges.take().length === 0) return;
    [...world.ledgerProposals.rows()].forEach((row) => takeOutcome(world, row.id, now));
  };

  return {
    name: 'ledgerProposal',
    run: (now) => {
      changes.take().forEach((id) => takeOutcome(world, id, now));
      takeDelayed(now);
      world.ledgerProposals.takeDue('resend', now).forEach((row) => takeDue(world, row, now));
    },
  };
};
