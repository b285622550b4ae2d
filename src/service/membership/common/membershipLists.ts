/**
 * The lists that a control daemon sends to the daemons that ask for them: control daemons, usable
 * entries and registered upstreams. A daemon asks one control daemon at a time. Heartbeats carry
 * only the version of the lists while they do not change, which also extends the lifetime of what
 * the receiver took from them.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import {
  extendAdvisedEntries,
  handleAdvisedEntries,
  selectEntriesFor,
} from '../../advice/common/advisedEntries.js';
import {
  extendRegistrations,
  handleListedRegistrations,
} from '../../registry/common/applyRegistration.js';
import {
  listRegistrationsForEntries,
  routingFieldsOf,
} from '../../registry/common/registrations.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import {
  createDerivedChanges,
  type DerivedChanges,
} from '../../../infrastructure/tables/common/derivedChanges.js';
import { isControlDaemon } from './contacts.js';
import { insertMember } from './daemonRows.js';
import type { Member, MembershipLists } from './membershipMessages.js';
import { DaemonState, ownListsId, type DaemonRow } from './membershipTables.js';

/** Describes a daemon to others. */
export const createMember = (row: DaemonRow): Member => ({
  name: row.id,
  ...(row.label === '' ? {} : { label: row.label }),
  zone: row.zone,
  region: row.region,
  roles: [...(row.isEntry ? [Role.Entry] : []), ...(row.isControl ? [Role.Control] : [])],
  callerAddress: row.callerAddress,
  peerAddress: row.peerAddress,
});

const listedColumnsOf = (row: DaemonRow): string | undefined => {
  if (row.state !== DaemonState.Alive) return undefined;
  const isAdvised = row.isEntry && row.isFresh;
  if (!row.isControl && !isAdvised) return undefined;
  const { label, zone, region, callerAddress, peerAddress } = row;
  return [isAdvised, label, zone, region, callerAddress, peerAddress].join('|');
};

/** Detects changes of the rows from which the lists of this daemon are made. */
export const createListChanges = (world: World): DerivedChanges => {
  const sources = [
    createDerivedChanges(world.daemons, listedColumnsOf),
    createDerivedChanges(world.registrations, routingFieldsOf),
  ];
  return { take: () => sources.map((source) => source.take()).includes(true) };
};

/** Returns the version of the lists of this daemon. */
export const ownListsVersionOf = (world: World): number =>
  world.ownLists.get(ownListsId)?.version ?? 1;

/** Increases the version of the lists of this daemon. */
export const increaseListsVersion = (world: World): void => {
  world.ownLists.put({ id: ownListsId, version: ownListsVersionOf(world) + 1 });
};

/** Creates the lists of this daemon for a receiver. */
export const createListsFor = (
  world: World,
  receiver: DaemonRow,
  now: Instant,
): MembershipLists => {
  const controlDaemons = [...world.daemons.rows()]
    .filter((row) => row.isControl && row.state === DaemonState.Alive)
    .map(createMember);
  const version = ownListsVersionOf(world);
  if (receiver.isControl) return { version, controlDaemons };
  return {
    version,
    controlDaemons,
    entries: selectEntriesFor(world, receiver),
    registrations: listRegistrationsForEntries(world, now),
  };
};

const insertListedMember = (world: World, member: Member, now: Instant): void => {
  const existing = world.daemons.get(asBrand<DaemonId>(member.name));
  if (existing === undefined) {
    insertMember(world, member, now);
    return;
  }
  // A control daemon that is known only by its address from the settings has no zone yet.
  if (existing.zone !== '' || existing.isSelf) return;
  const { zone, region, callerAddress, label = '' } = member;
  world.daemons.change(existing.id, { zone, region, callerAddress, label });
};

/** Records which daemon's lists are held; lists of other daemons have been replaced by them. */
const recordHeldLists = (world: World, source: DaemonRow, version: number): void =>
  [...world.daemons.rows()]
    .filter(({ id, appliedLists }) => id === source.id || appliedLists !== 0)
    .forEach(({ id }) =>
      world.daemons.change(id, { appliedLists: id === source.id ? version : 0 }),
    );

/** Applies received lists. */
export const handleLists = (
  world: World,
  source: DaemonRow,
  lists: MembershipLists,
  now: Instant,
): void => {
  lists.controlDaemons.forEach((member) => insertListedMember(world, member, now));
  if (lists.entries !== undefined) handleAdvisedEntries(world, lists.entries, now);
  if (lists.registrations !== undefined) handleListedRegistrations(world, lists.registrations, now);
  recordHeldLists(world, source, lists.version);
};

/** Extends what was taken from the lists of a daemon that still has the version held here. */
export const handleListsVersion = (
  world: World,
  source: DaemonRow,
  version: number,
  now: Instant,
): void => {
  if (source.appliedLists !== version || isControlDaemon(world)) return;
  extendAdvisedEntries(world, now);
  extendRegistrations(world, now);
};
