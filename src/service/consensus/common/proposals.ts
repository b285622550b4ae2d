/**
 * Proposals on their way into the log: kept where they were made until their outcome is known, sent to
 * the leader again and again under the same identifier, and answered from the agreed state.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import type { ConsensusMessage } from './consensusMessages.js';
import { recordOutcome, type Proposal, type ProposalOutcome } from './consensusTables.js';
import { proposalResendMilliseconds } from './consensusTiming.js';
import type { LogEntry } from './logEntry.js';
import { appendEntry, entryOfProposal, replicaOf } from './replicaLog.js';
import { adoptVoters } from './voters.js';
import { ReplicaState, type PendingProposalRow } from './replicaTables.js';

type ProposedEntry = Pick<LogEntry, 'proposal' | 'origin' | 'command'>;

const appendOnce = (world: World, entry: ProposedEntry): void => {
  if (entryOfProposal(world, entry.proposal) !== undefined) return;
  appendEntry(world, entry);
  if (entry.command.kind === 'votersSet') adoptVoters(world);
};

const submitHere = (world: World, row: PendingProposalRow, now: Instant): void => {
  const remembered = world.rememberedOutcomes.get(row.id);
  if (remembered !== undefined) recordOutcome(world, row.id, remembered.outcome, now);
  else appendOnce(world, { proposal: row.id, origin: world.self.name, command: row.command });
};

/** Hands a proposal to the leader; returns whether there is one. */
const submit = (world: World, row: PendingProposalRow, now: Instant): boolean => {
  const { state, leader } = replicaOf(world);
  if (state === ReplicaState.Leader) {
    submitHere(world, row, now);
    return true;
  }
  if (leader === null) return false;
  const message = {
    kind: 'proposalForwarded',
    proposal: row.id,
    command: row.command,
  } as const;
  world.outgoingMessages.append({ to: leader, message });
  return true;
};

const take = (world: World, proposal: Proposal, now: Instant): void => {
  const isKnown = world.pendingProposals.has(proposal.id);
  if (!isKnown) world.pendingProposals.put({ ...proposal, sendDeadline: now, wasSent: false });
};

const send = (world: World, row: PendingProposalRow, now: Instant): void => {
  const wasSent = submit(world, row, now);
  world.pendingProposals.change(row.id, {
    wasSent: row.wasSent || wasSent,
    sendDeadline: deadlineAfter(now, proposalResendMilliseconds),
  });
};

const notSent: ProposalOutcome = {
  kind: 'rejected',
  rejection: {
    kind: 'noLeader',
    message:
      'No leader was known in time, and nothing was changed; check that more than half of the ' +
      'control daemons run and reach each other, and send it again.',
  },
};

const giveUp = (world: World, row: PendingProposalRow, now: Instant): void => {
  world.pendingProposals.remove(row.id);
  recordOutcome(world, row.id, row.wasSent ? { kind: 'unknown' } : notSent, now);
};

/** Takes new proposals, sends those that are due, and gives up those whose time has passed. */
export const carryProposals = (world: World, now: Instant): void => {
  world.proposals.takeAll().forEach((proposal) => take(world, proposal, now));
  world.pendingProposals.takeDue('proposal', now).forEach((row) => giveUp(world, row, now));
  world.pendingProposals.takeDue('send', now).forEach((row) => send(world, row, now));
};

/** Sends every proposal anew, as there is another leader. */
export const resendProposals = (world: World, now: Instant): void =>
  [...world.pendingProposals.rows()].forEach(({ id }) =>
    world.pendingProposals.change(id, { sendDeadline: now }),
  );

/** What a daemon does with the messages of proposals. */
export const proposalHandlers: Pick<
  HandlerTable<ConsensusMessage, void, [World, DaemonRow, Instant]>,
  'proposalForwarded' | 'proposalAnswered'
> = {
  proposalForwarded: ({ proposal, command }, world, origin) => {
    const remembered = world.rememberedOutcomes.get(asBrand(proposal));
    if (remembered !== undefined) {
      const { outcome } = remembered;
      world.outgoingMessages.append({
        to: origin.id,
        message: { kind: 'proposalAnswered', proposal, outcome },
      });
      return;
    }
    if (replicaOf(world).state !== ReplicaState.Leader) return;
    appendOnce(world, { proposal, origin: origin.id, command });
  },
  proposalAnswered: ({ proposal, outcome }, world, _leader, now) => {
    const id = asBrand<PendingProposalRow['id']>(proposal);
    if (!world.pendingProposals.has(id)) return;
    world.pendingProposals.remove(id);
    recordOutcome(world, id, outcome, now);
  },
};
