/**
 * Creates the rows of daemons that the settings list, that announced themselves, or that another
 * daemon named.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { Discovery, Role } from '../../../infrastructure/settings/common/deployment.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { Member } from './membershipMessages.js';
import { DaemonState, type DaemonRow } from './membershipTables.js';

const createDaemonRow = (world: World, member: Member, now: Instant): DaemonRow => {
  const isSelf = member.name === world.self.name;
  return {
    id: asBrand<DaemonId>(member.name),
    label: member.label ?? '',
    zone: member.zone,
    region: member.region,
    callerAddress: member.callerAddress,
    peerAddress: member.peerAddress,
    isVoter: world.initialVoters.includes(member.name),
    isControl: member.roles.includes(Role.Control),
    isEntry: member.roles.includes(Role.Entry),
    isSelf,
    state: isSelf ? DaemonState.Alive : DaemonState.Unknown,
    incarnation: isSelf ? world.incarnation : 0,
    load: 0,
    revision: 0,
    isFresh: false,
    isContact: world.deployment.discovery === Discovery.Listed,
    appliedLists: 0,
    heldLists: null,
    suspicionDeadline: isSelf
      ? never
      : deadlineAfter(now, world.deployment.timing.suspicionMilliseconds),
    heartbeatDeadline: now,
  };
};

/** Inserts every daemon of the settings into the table; called once, before the first tick. */
export const insertDaemons = (world: World, now: Instant): void =>
  world.deployment.daemons.forEach((member) => {
    world.daemons.put(createDaemonRow(world, member, now));
  });

/** Inserts a daemon that announced itself or was named by another daemon, and returns its row. */
export const insertMember = (world: World, member: Member, now: Instant): DaemonRow =>
  world.daemons.put(createDaemonRow(world, member, now));
