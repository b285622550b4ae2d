/**
 * Proposes commands to the replicated log and resolves with their outcomes. An identifier whose
 * recorded outcome is `applied` resolves with it at once and is not proposed again.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Clock, type Milliseconds } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import type { Command } from '../../../service/consensus/common/command.js';
import type {
  ProposalId,
  ProposalOutcome,
} from '../../../service/consensus/common/consensusTables.js';
import type { World } from '../../../service/world/common/world.js';

type Resolve = (outcome: ProposalOutcome) => void;

/** Port of proposals; `drain` runs after each tick. */
export interface ProposalPort {
  readonly propose: (
    id: string,
    command: Command,
    remaining: Milliseconds,
  ) => Promise<ProposalOutcome>;
  readonly drain: () => void;
}

/** Creates the port. `wake` requests a tick. */
export const createProposalPort = (world: World, clock: Clock, wake: () => void): ProposalPort => {
  const pending = new Map<ProposalId, Resolve[]>();
  const changes = world.proposalOutcomes.createChangeReader(RowReader.Port);

  const resolveProposal = (id: ProposalId): void => {
    const outcome = world.proposalOutcomes.get(id)?.outcome;
    if (outcome === undefined) return;
    const resolvers = pending.get(id) ?? [];
    pending.delete(id);
    resolvers.forEach((resolve) => resolve(outcome));
  };

  return {
    propose: (identifier, command, remaining) =>
      new Promise((resolve) => {
        const id = asBrand<ProposalId>(identifier);
        const existing = world.proposalOutcomes.get(id)?.outcome;
        if (existing?.kind === 'applied') {
          resolve(existing);
          return;
        }
        pending.set(id, [...(pending.get(id) ?? []), resolve]);
        const proposalDeadline = deadlineAfter(clock(), remaining);
        world.proposals.append({ id, command, proposalDeadline });
        wake();
      }),
    drain: () => changes.take().forEach(resolveProposal),
  };
};
