/**
 * Applies committed entries in log order. Each subject has a handler for each kind of its commands, which
 * changes tables and nothing else, so that every daemon comes to the same rows.
 */
import { ok, type Result } from 'neverthrow';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../platform/tables/common/tick.js';
import { configurationApplyHandlers } from '../../configuration/common/applyConfiguration.js';
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
};

const outcomeOf = (applied: Result<void, Rejection>, index: number): ProposalOutcome =>
  applied.match<ProposalOutcome>(
    () => ({ kind: 'applied', index }),
    (rejection) => ({ kind: 'rejected', rejection }),
  );

const apply = (world: World, entry: CommittedEntry, now: Instant): void => {
  const applied = dispatchByKind<Command, Result<void, Rejection>, ApplyContext>(
    handlers,
    entry.command,
    world,
    entry,
    now,
  );
  recordOutcome(world, entry.proposal, outcomeOf(applied, entry.index), now);
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
