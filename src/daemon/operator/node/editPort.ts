/**
 * Proposes operators' edits to the replicated log and resolves each edit once it is applied on this
 * daemon, is rejected, or has an unknown outcome after its deadline.
 */
import { deadlineAfter, type Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { asBrand } from '../../../base/common/brand.js';
import type { EditCommand } from '../../../service/configuration/common/configurationCommands.js';
import type { ProposalId, Rejection } from '../../../service/consensus/common/consensusTables.js';
import type { World } from '../../../service/world/common/world.js';

/** Outcome of an edit. */
export type EditOutcome =
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'rejected'; readonly rejection: Rejection }
  | { readonly kind: 'unknown' };

/** Port of edits; `drain` runs after each tick. */
export interface EditPort {
  readonly edit: (command: EditCommand) => Promise<EditOutcome>;
  readonly drain: () => void;
}

const editTimeoutMilliseconds = 5_000;

interface PendingEdit {
  readonly command: EditCommand;
  readonly resolve: (outcome: EditOutcome) => void;
}

/** Creates the port. `wake` requests a tick. */
export const createEditPort = (world: World, clock: Clock, wake: () => void): EditPort => {
  const pending = new Map<ProposalId, PendingEdit>();
  const outcomeChanges = world.proposalOutcomes.createChangeReader(RowReader.Port);
  const rememberedAnswerChanges = world.rememberedAnswers.createChangeReader(RowReader.Port);

  const readAppliedOutcome = ({ command }: PendingEdit): EditOutcome | undefined => {
    const rememberedAnswer = world.rememberedAnswers.get(asBrand(command.request));
    if (rememberedAnswer?.revision == null) return undefined;
    return { kind: 'accepted', revision: rememberedAnswer.revision };
  };

  const readOutcome = (proposal: ProposalId, edit: PendingEdit): EditOutcome | undefined => {
    const outcome = world.proposalOutcomes.get(proposal)?.outcome;
    return outcome?.kind === 'applied' ? readAppliedOutcome(edit) : outcome;
  };

  const resolveEdit = (proposal: ProposalId, edit: PendingEdit): void => {
    const outcome = readOutcome(proposal, edit);
    if (outcome === undefined) return;
    pending.delete(proposal);
    edit.resolve(outcome);
  };

  return {
    edit: (command) =>
      new Promise((resolve) => {
        const id = world.identifiers.next<ProposalId>('edit');
        pending.set(id, { command, resolve });
        const proposalDeadline = deadlineAfter(clock(), editTimeoutMilliseconds);
        world.proposals.append({ id, command, proposalDeadline });
        wake();
      }),
    drain: () => {
      const changeCount = outcomeChanges.take().length + rememberedAnswerChanges.take().length;
      if (changeCount > 0) pending.forEach((edit, proposal) => resolveEdit(proposal, edit));
    },
  };
};
