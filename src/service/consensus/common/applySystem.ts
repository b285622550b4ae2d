/**
 * Applies committed entries in log order. Each subject has a handler for each kind of its commands, which
 * changes tables and nothing else, so that every daemon comes to the same rows.
 */
import { ok, type Result } from 'neverthrow';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { configurationApplyHandlers } from '../../configuration/common/applyConfiguration.js';
import { orderApplyHandlers } from '../../orders/common/applyOrders.js';
import { ledgerHandlers } from '../../rollout/common/ledgerHandlers.js';
import type { World } from '../../world/common/world.js';
import type { Command } from './command.js';
import {
  recordOutcome,
  type CommittedEntry,
  type ProposalOutcome,
  type Rejection,
} from './consensusTables.js';

/** What a handler is given besides the command. It may not depend on the time for agreed rows. */
export type ApplyContext = [World, CommittedEntry, Instant];

/** Handlers for some kinds of commands. */
export type ApplyHandlers<Kinds extends Command> = HandlerTable<
  Kinds,
  Result<void, Rejection>,
  ApplyContext
>;

const handlers: ApplyHandlers<Command> = {
  leadershipTaken: () => ok(undefined),
  ...configurationApplyHandlers,
  ...orderApplyHandlers,
  ...ledgerHandlers,
};

const outcomeOf = (applied: Result<void, Rejection>, index: number): ProposalOutcome =>
  applied.match<ProposalOutcome>(
    () => ({ kind: 'applied', index }),
    (rejection) => ({ kind: 'rejected', rejection }),
  );

/** Outcomes are remembered for this many entries, so that a resend within them is not applied again. */
const outcomeRetentionEntries = 8_192;

function* takeWhileOld(world: World, oldest: number): Generator<CommittedEntry['proposal']> {
  for (const row of world.rememberedOutcomes.rows()) {
    if (row.index > oldest) return;
    yield row.id;
  }
}

const remember = (world: World, entry: CommittedEntry, outcome: ProposalOutcome): void => {
  world.rememberedOutcomes.put({ id: entry.proposal, index: entry.index, outcome });
  // Rows stand in the order of their entries, so only the first ones can be too old.
  [...takeWhileOld(world, entry.index - outcomeRetentionEntries)].forEach((id) =>
    world.rememberedOutcomes.remove(id),
  );
};

const carryOut = (world: World, entry: CommittedEntry, now: Instant): ProposalOutcome => {
  const applied = dispatchByKind<Command, Result<void, Rejection>, ApplyContext>(
    handlers,
    entry.command,
    world,
    entry,
    now,
  );
  return outcomeOf(applied, entry.index);
};

const apply = (world: World, entry: CommittedEntry, now: Instant): void => {
  const remembered = world.rememberedOutcomes.get(entry.proposal)?.outcome;
  const outcome = remembered ?? carryOut(world, entry, now);
  if (remembered === undefined) remember(world, entry, outcome);
  recordOutcome(world, entry.proposal, outcome, now);
  world.pendingProposals.remove(entry.proposal);
};

/** Creates the system that applies committed entries. */
export const createApplySystem = (world: World): System => ({
  name: 'apply',
  run: (now) => {
    world.committedEntries.takeAll().forEach((entry) => apply(world, entry, now));
    world.proposalOutcomes
      .takeDue('retention', now)
      .forEach((row) => world.proposalOutcomes.remove(row.id));
  },
});
