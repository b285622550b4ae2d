/**
 * Submission of proposals to the log. The proposing daemon keeps a proposal until its outcome is
 * known, and resends it to the leader under the same identifier. The outcome comes from the
 * replicated state.
 */
import { asBrand } from '../../../base/common/brand.js';
import { computeEncodedBytes } from '../../../base/common/encodedSize.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { maximumRowBytes } from '../../../infrastructure/wire/common/frameLimits.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import { commandSchema, type Command } from './command.js';
import type { ConsensusMessage } from './consensusMessages.js';
import {
  noLeaderKind,
  recordOutcome,
  type Proposal,
  type ProposalOutcome,
} from './consensusTables.js';
import { proposalResendIntervalMilliseconds } from './consensusTiming.js';
import type { LogEntry } from './logEntry.js';
import { appendEntry, entryOfProposal, replicaOf } from './replicaLog.js';
import { ReplicaState, type PendingProposalRow } from './replicaTables.js';

type ProposedEntry = Pick<LogEntry, 'proposal' | 'origin' | 'command'>;

const appendIfAbsent = (world: World, entry: ProposedEntry): void => {
  if (entryOfProposal(world, entry.proposal) === undefined) appendEntry(world, entry);
};

const submitLocally = (world: World, row: PendingProposalRow, now: Instant): void => {
  const stored = world.rememberedOutcomes.get(row.id);
  if (stored !== undefined) recordOutcome(world, row.id, stored.outcome, now);
  else appendIfAbsent(world, { proposal: row.id, origin: world.self.name, command: row.command });
};

/** Submits a proposal to the leader. Returns false if no leader is known. */
const submit = (world: World, row: PendingProposalRow, now: Instant): boolean => {
  const { state, leader } = replicaOf(world);
  if (state === ReplicaState.Leader) {
    submitLocally(world, row, now);
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

const unreadableOutcome: ProposalOutcome = {
  kind: 'rejected',
  rejection: {
    kind: 'commandUnreadable',
    message: 'A field of the command has a value that no daemon could read back; correct it.',
  },
};

/** Kind of the rejection of a command that no message could carry. */
export const commandTooLargeKind = 'commandTooLarge';

const tooLargeOutcome: ProposalOutcome = {
  kind: 'rejected',
  rejection: {
    kind: commandTooLargeKind,
    message: `The command exceeds ${maximumRowBytes} bytes as it is stored; divide it or shorten it.`,
  },
};

/**
 * A change of voters is only safe on top of the one that it was computed from. The leader appends its
 * own in the tick that computes them; in a proposal, one could outlive its leadership.
 */
const isVotersChange = ({ kind }: Command): boolean => kind === 'votersSet';

const votersChangeOutcome: ProposalOutcome = {
  kind: 'rejected',
  rejection: {
    kind: 'votersNotProposable',
    message: 'Only the leader changes the voters; retire or start a control daemon instead.',
  },
};

/** Returns why a command must not be appended to the log; undefined if it can be. */
const findUnacceptableOutcome = (command: Command): ProposalOutcome | undefined => {
  if (isVotersChange(command)) return votersChangeOutcome;
  if (!commandSchema.safeParse(command).success) return unreadableOutcome;
  return computeEncodedBytes(command) > maximumRowBytes ? tooLargeOutcome : undefined;
};

/**
 * Enqueues a proposal of this daemon. A command that its schema does not accept, or that does not
 * fit a message, is rejected: no daemon could read an entry with it, neither from a message nor from
 * its storage. Forwarded commands have passed the schema of messages.
 */
const enqueueProposal = (world: World, proposal: Proposal, now: Instant): void => {
  const unacceptable = findUnacceptableOutcome(proposal.command);
  if (unacceptable !== undefined) {
    world.metrics.count('proposals.unacceptable', 1, { kind: proposal.command.kind });
    recordOutcome(world, proposal.id, unacceptable, now);
    return;
  }
  const isPending = world.pendingProposals.has(proposal.id);
  if (!isPending)
    world.pendingProposals.put({ ...proposal, sendDeadline: now, hasBeenSent: false });
};

const sendProposal = (world: World, row: PendingProposalRow, now: Instant): void => {
  const isSubmitted = submit(world, row, now);
  world.pendingProposals.change(row.id, {
    hasBeenSent: row.hasBeenSent || isSubmitted,
    sendDeadline: deadlineAfter(now, proposalResendIntervalMilliseconds),
  });
};

const notSentOutcome: ProposalOutcome = {
  kind: 'rejected',
  rejection: {
    kind: noLeaderKind,
    message:
      'No leader was known before the deadline, so nothing was changed; check that more than ' +
      'half of the control daemons run and can reach each other, then send the request again.',
  },
};

const abandonProposal = (world: World, row: PendingProposalRow, now: Instant): void => {
  world.pendingProposals.remove(row.id);
  recordOutcome(world, row.id, row.hasBeenSent ? { kind: 'unknown' } : notSentOutcome, now);
};

/** Enqueues new proposals, abandons expired ones, and sends those that are due. */
export const processProposals = (world: World, now: Instant): void => {
  world.proposals.takeAll().forEach((proposal) => enqueueProposal(world, proposal, now));
  world.pendingProposals
    .takeDue('proposal', now)
    .forEach((row) => abandonProposal(world, row, now));
  world.pendingProposals.takeDue('send', now).forEach((row) => sendProposal(world, row, now));
};

/** Makes every pending proposal due, so that it is resent to a new leader. */
export const resendProposals = (world: World, now: Instant): void =>
  [...world.pendingProposals.rows()].forEach(({ id }) =>
    world.pendingProposals.change(id, { sendDeadline: now }),
  );

/** Handlers for the messages of proposals. */
export const proposalHandlers: Pick<
  HandlerTable<ConsensusMessage, void, [World, DaemonRow, Instant]>,
  'proposalForwarded' | 'proposalAnswered'
> = {
  proposalForwarded: ({ proposal, command }, world, origin) => {
    const stored = world.rememberedOutcomes.get(asBrand(proposal));
    const outcome = stored?.outcome ?? (isVotersChange(command) ? votersChangeOutcome : undefined);
    if (outcome !== undefined) {
      world.outgoingMessages.append({
        to: origin.id,
        message: { kind: 'proposalAnswered', proposal, outcome },
      });
      return;
    }
    if (replicaOf(world).state !== ReplicaState.Leader) return;
    appendIfAbsent(world, { proposal, origin: origin.id, command });
  },
  proposalAnswered: ({ proposal, outcome }, world, _leader, now) => {
    const id = asBrand<PendingProposalRow['id']>(proposal);
    if (!world.pendingProposals.has(id)) return;
    world.pendingProposals.remove(id);
    recordOutcome(world, id, outcome, now);
  },
};
