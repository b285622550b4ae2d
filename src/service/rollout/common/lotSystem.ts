/**
 * The life of lots beside their samples: the owner fails a lot at its deadline and drops it at the end of
 * its retention; the leader gives the lots of a daemon that is gone to another.
 */
import { asBrand } from '../../../base/common/brand.js';
import { selectRandomElement } from '../../../base/common/random.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipId } from '../../consensus/common/consensusTables.js';
import { DaemonState } from '../../membership/common/membershipTables.js';
import type { DaemonId, LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { LotFailureKind } from './ledgerCommands.js';
import { proposeOnce } from './ledgerProposals.js';
import { LotState, type LotRow } from './ledgerRows.js';
import { ProposalPurpose, type LotClockRow } from './runRows.js';

/** How long an acknowledged lot is kept for late questions. */
const acknowledgedRetentionMilliseconds = 60_000;

const isOwn = (world: World, lot: LotRow): boolean => lot.owner === asBrand(world.self.name);

const fail = (world: World, lot: LotRow, now: Instant): void => {
  const failure = LotFailureKind.DeadlinePassed;
  const command = { kind: 'lotFailed' as const, lot: lot.id, failure };
  proposeOnce(world, lot.id, ProposalPurpose.Fail, command, now);
};

const drop = (world: World, lot: LotRow, now: Instant): void => {
  const command = { kind: 'lotDropped' as const, lot: lot.id };
  proposeOnce(world, lot.id, ProposalPurpose.Drop, command, now);
};

type StateHandler = (world: World, lot: LotRow, clock: LotClockRow, now: Instant) => void;

const ignore: StateHandler = () => {};

/** What the owner does for a lot in each state, besides dropping it. */
const stateHandlers: Readonly<Record<LotState, StateHandler>> = {
  open: (world, lot, clock, now) => {
    if (clock.lotDeadline <= now) fail(world, lot, now);
  },
  delivered: ignore,
  acknowledged: (world, lot, clock, now) => {
    const retentionDeadline = deadlineAfter(now, acknowledgedRetentionMilliseconds);
    if (clock.retentionDeadline <= retentionDeadline) return;
    world.lotClocks.change(lot.id, { lotDeadline: never, retentionDeadline });
  },
  failed: ignore,
};

const look = (world: World, id: LotId, now: Instant): void => {
  const lot = world.lots.get(id);
  const clock = world.lotClocks.get(id);
  if (lot === undefined || clock === undefined || !isOwn(world, lot)) return;
  if (clock.retentionDeadline <= now) drop(world, lot, now);
  else stateHandlers[lot.state](world, lot, clock, now);
};

const isLeader = (world: World, now: Instant): boolean => {
  const leadership = world.leadership.get(leadershipId);
  return leadership?.isSelf === true && leadership.leaseDeadline > now;
};

const isUsable = (world: World, id: DaemonId): boolean =>
  id === asBrand(world.self.name) || world.daemons.get(id)?.state === DaemonState.Alive;

const isGone = (world: World, id: DaemonId): boolean =>
  !isUsable(world, id) && world.daemons.get(id)?.state !== DaemonState.Unknown;

const usableControlDaemons = (world: World): DaemonId[] =>
  world.deployment.daemons
    .filter((daemon) => daemon.roles.includes(Role.Control))
    .map((daemon) => asBrand<DaemonId>(daemon.name))
    .filter((id) => isUsable(world, id));

const takeOver = (world: World, lot: LotRow, now: Instant): void => {
  const owner = selectRandomElement(world.random, usableControlDaemons(world));
  if (owner === undefined) return;
  const command = { kind: 'lotTakenOver' as const, lot: lot.id, owner, epoch: lot.epoch + 1 };
  proposeOnce(world, lot.id, ProposalPurpose.TakeOver, command, now);
};

const takeOverAbandoned = (world: World, now: Instant): void => {
  const owners = [...world.lots.values('owner')].map((owner) => asBrand<DaemonId>(owner));
  owners
    .filter((owner) => isGone(world, owner))
    .flatMap((owner) => world.lots.where('owner', owner))
    .forEach((lot) => takeOver(world, lot, now));
};

/** Creates the system of lots. */
export const createLotSystem = (world: World): System => {
  const lotChanges = world.lots.createChangeReader();
  const daemonChanges = world.daemons.createChangeReader();
  const leadershipChanges = world.leadership.createChangeReader();

  return {
    name: 'lot',
    run: (now) => {
      const due = [
        ...world.lotClocks.takeDue('lot', now),
        ...world.lotClocks.takeDue('retention', now),
      ].map((clock) => clock.id);
      const changed = lotChanges.take();
      new Set([...changed, ...due]).forEach((lot) => look(world, lot, now));
      const peersChanged = daemonChanges.take().length + leadershipChanges.take().length > 0;
      if ((peersChanged || changed.length > 0) && isLeader(world, now)) {
        takeOverAbandoned(world, now);
      }
    },
  };
};
