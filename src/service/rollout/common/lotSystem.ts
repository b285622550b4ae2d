/**
 * Manages the life cycle of lots. The owner proposes to fail a lot at its deadline and to drop it
 * at the end of its retention; the leader transfers the lots of an unavailable daemon to another
 * one. Runs each tick on changed or due lots and on changes of daemons and leadership.
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

/** Time for which an acknowledged lot is kept to answer late fetches. */
const acknowledgedRetentionMilliseconds = 60_000;

const isOwnLot = (world: World, lot: LotRow): boolean => lot.owner === asBrand(world.self.name);

const proposeFailure = (world: World, lot: LotRow, now: Instant): void => {
  const failure = LotFailureKind.DeadlinePassed;
  const command = { kind: 'lotFailed' as const, lot: lot.id, failure };
  proposeOnce(world, lot.id, ProposalPurpose.Fail, command, now);
};

const proposeDrop = (world: World, lot: LotRow, now: Instant): void => {
  const command = { kind: 'lotDropped' as const, lot: lot.id };
  proposeOnce(world, lot.id, ProposalPurpose.Drop, command, now);
};

type StateHandler = (world: World, lot: LotRow, clock: LotClockRow, now: Instant) => void;

const ignore: StateHandler = () => {};

/**
 * Handlers by which the owner processes a lot before its retention ends, by the state of the lot.
 */
const stateHandlers: Readonly<Record<LotState, StateHandler>> = {
  open: (world, lot, clock, now) => {
    if (clock.lotDeadline <= now) proposeFailure(world, lot, now);
  },
  delivered: ignore,
  acknowledged: (world, lot, clock, now) => {
    const retentionDeadline = deadlineAfter(now, acknowledgedRetentionMilliseconds);
    if (clock.retentionDeadline <= retentionDeadline) return;
    world.lotClocks.change(lot.id, { lotDeadline: never, retentionDeadline });
  },
  failed: ignore,
};

const processLot = (world: World, id: LotId, now: Instant): void => {
  const lot = world.lots.get(id);
  const clock = world.lotClocks.get(id);
  if (lot === undefined || clock === undefined || !isOwnLot(world, lot)) return;
  if (clock.retentionDeadline <= now) proposeDrop(world, lot, now);
  else stateHandlers[lot.state](world, lot, clock, now);
};

const isLeader = (world: World, now: Instant): boolean => {
  const leadership = world.leadership.get(leadershipId);
  return leadership?.isSelf === true && leadership.leaseDeadline > now;
};

const isUsable = (world: World, id: DaemonId): boolean =>
  id === asBrand(world.self.name) || world.daemons.get(id)?.state === DaemonState.Alive;

const isKnownUnavailable = (world: World, id: DaemonId): boolean =>
  !isUsable(world, id) && world.daemons.get(id)?.state !== DaemonState.Unknown;

const usableControlDaemons = (world: World): DaemonId[] =>
  world.deployment.daemons
    .filter((daemon) => daemon.roles.includes(Role.Control))
    .map((daemon) => asBrand<DaemonId>(daemon.name))
    .filter((id) => isUsable(world, id));

const proposeTakeover = (world: World, lot: LotRow, now: Instant): void => {
  const owner = selectRandomElement(world.random, usableControlDaemons(world));
  if (owner === undefined) return;
  const command = { kind: 'lotTakenOver' as const, lot: lot.id, owner, epoch: lot.epoch + 1 };
  proposeOnce(world, lot.id, ProposalPurpose.TakeOver, command, now);
};

const reassignAbandonedLots = (world: World, now: Instant): void => {
  const owners = [...world.lots.values('owner')].map((owner) => asBrand<DaemonId>(owner));
  owners
    .filter((owner) => isKnownUnavailable(world, owner))
    .flatMap((owner) => world.lots.where('owner', owner))
    .forEach((lot) => proposeTakeover(world, lot, now));
};

/** Creates the system that manages the life cycle of lots. */
export const createLotSystem = (world: World): System => {
  const lotChanges = world.lots.createChangeReader();
  const daemonChanges = world.daemons.createChangeReader();
  const leadershipChanges = world.leadership.createChangeReader();

  return {
    name: 'lot',
    run: (now) => {
      const dueLots = [
        ...world.lotClocks.takeDue('lot', now),
        ...world.lotClocks.takeDue('retention', now),
      ].map((clock) => clock.id);
      const changedLots = lotChanges.take();
      new Set([...changedLots, ...dueLots]).forEach((lot) => processLot(world, lot, now));
      const havePeersChanged = daemonChanges.take().length + leadershipChanges.take().length > 0;
      if ((havePeersChanged || changedLots.length > 0) && isLeader(world, now)) {
        reassignAbandonedLots(world, now);
      }
    },
  };
};
