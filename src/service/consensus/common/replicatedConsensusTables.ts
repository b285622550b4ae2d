/**
 * The replicated tables of the log itself: outcomes of proposals, and retirements.
 */
import * as z from 'zod';
import type { Instant } from '../../../base/common/time.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { Topic } from './command.js';
import { recordOutcome, type ProposalId } from './consensusTables.js';
import { createIdentifierSchema, type ReplicatedTables } from './replicatedTable.js';
import { daemonRetiredSchema } from './voterCommands.js';

const index = z.number().int().positive();

/** Outcome of a proposal, with all that a component adds to a rejection. */
const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('applied'), index }),
  z.object({
    kind: z.literal('rejected'),
    rejection: z.looseObject({ kind: z.string(), message: z.string() }),
  }),
  z.object({ kind: z.literal('unknown') }),
]);

/** Gives proposers of this daemon their outcome, as the entries of their proposals will not come. */
const recordPendingOutcomes = (world: World, now: Instant): void =>
  [...world.pendingProposals.rows()].forEach(({ id }) => {
    const remembered = world.rememberedOutcomes.get(id);
    if (remembered === undefined) return;
    recordOutcome(world, id, remembered.outcome, now);
    world.pendingProposals.remove(id);
  });

export const replicatedConsensusTables: ReplicatedTables<'rememberedOutcomes' | 'retirements'> = {
  rememberedOutcomes: {
    // Only the leader and relays answer by it; proposals of others are answered by them.
    topic: Topic.Voters,
    rowSchema: z.object({
      id: createIdentifierSchema<ProposalId>(),
      index,
      outcome: outcomeSchema,
    }),
    onDidRestore: recordPendingOutcomes,
  },
  retirements: {
    topic: Topic.Voters,
    rowSchema: z.object({
      id: createIdentifierSchema<DaemonId>(),
      label: daemonRetiredSchema.shape.label,
    }),
  },
};
