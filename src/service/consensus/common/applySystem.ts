/**
 * Applies committed entries in log order on each tick. Each component provides one handler per kind
 * of command. A handler may only change tables, so that every daemon ends up with the same rows.
 */
import { ok, type Result } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import { dispatchByKind } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { configurationApplyHandlers } from '../../configuration/common/applyConfiguration.js';
import { declarationApplyHandlers } from '../../declaration/common/applyDeclaration.js';
import { jobApplyHandlers } from '../../jobs/common/applyJobs.js';
import { meteringApplyHandlers } from '../../metering/common/applyMetering.js';
import { orderApplyHandlers } from '../../orders/common/applyOrders.js';
import { evacuationApplyHandlers } from '../../places/common/applyEvacuations.js';
import { ledgerApplyHandlers } from '../../rollout/common/ledgerHandlers.js';
import { versionApplyHandlers } from '../../weights/common/applyVersions.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { ApplyContext, ApplyHandlers } from './applyHandlers.js';
import { Topic, topicOfCommand, type Command } from './command.js';
import {
  recordOutcome,
  type CommittedEntry,
  type ProposalOutcome,
  type Rejection,
} from './consensusTables.js';
import { replicaOf } from './replicaLog.js';
import { ReplicaState } from './replicaTables.js';
import { retirementApplyHandlers } from './retirement.js';

const handlers: ApplyHandlers<Command> = {
  leadershipTaken: () => ok(undefined),
  votersSet: () => ok(undefined),
  ...retirementApplyHandlers,
  ...configurationApplyHandlers,
  ...orderApplyHandlers,
  ...ledgerApplyHandlers,
  ...declarationApplyHandlers,
  ...jobApplyHandlers,
  ...versionApplyHandlers,
  ...meteringApplyHandlers,
  ...evacuationApplyHandlers,
};

const createOutcome = (applied: Result<void, Rejection>, index: number): ProposalOutcome =>
  applied.match<ProposalOutcome>(
    () => ({ kind: 'applied', index }),
    (rejection) => ({ kind: 'rejected', rejection }),
  );

/**
 * Number of log entries for which the outcome of a proposal is stored. A proposal that is resent
 * within this range is not applied a second time.
 */
const outcomeRetentionEntries = 8_192;

function* expiredOutcomeIds(
  world: World,
  lastExpiredIndex: number,
): Generator<CommittedEntry['proposal']> {
  for (const row of world.rememberedOutcomes.rows()) {
    if (row.index > lastExpiredIndex) return;
    yield row.id;
  }
}

const storeOutcome = (world: World, entry: CommittedEntry, outcome: ProposalOutcome): void => {
  world.rememberedOutcomes.put({ id: entry.proposal, index: entry.index, outcome });
  // Rows are in log order, so the expired ones are all at the start of the table.
  [...expiredOutcomeIds(world, entry.index - outcomeRetentionEntries)].forEach((id) =>
    world.rememberedOutcomes.remove(id),
  );
};

const executeCommand = (world: World, entry: CommittedEntry, now: Instant): ProposalOutcome => {
  const applied = dispatchByKind<Command, Result<void, Rejection>, ApplyContext>(
    handlers,
    entry.command,
    world,
    entry,
    now,
  );
  return createOutcome(applied, entry.index);
};

/** Sends the outcome to a proposer that does not receive entries of the topic `voters`. */
const notifyProposer = (world: World, entry: CommittedEntry, outcome: ProposalOutcome): void => {
  const isLeader = replicaOf(world).state === ReplicaState.Leader;
  if (!isLeader || topicOfCommand[entry.command.kind] !== Topic.Voters) return;
  if (entry.origin === world.self.name) return;
  world.outgoingMessages.append({
    to: asBrand<DaemonId>(entry.origin),
    message: { kind: 'proposalAnswered', proposal: entry.proposal, outcome },
  });
};

const applyEntry = (world: World, entry: CommittedEntry, now: Instant): void => {
  const storedOutcome = world.rememberedOutcomes.get(entry.proposal)?.outcome;
  const outcome = storedOutcome ?? executeCommand(world, entry, now);
  if (storedOutcome === undefined) storeOutcome(world, entry, outcome);
  recordOutcome(world, entry.proposal, outcome, now);
  notifyProposer(world, entry, outcome);
  world.pendingProposals.remove(entry.proposal);
};

/** Creates the system that applies committed entries. */
export const createApplySystem = (world: World): System => ({
  name: 'apply',
  run: (now) => {
    world.committedEntries.takeAll().forEach((entry) => applyEntry(world, entry, now));
    world.proposalOutcomes
      .takeDue('retention', now)
      .forEach((row) => world.proposalOutcomes.remove(row.id));
  },
});
