/**
 * Selects the daemons with which a daemon exchanges heartbeats, if daemons announce themselves.
 * Control daemons exchange them with each other and with the entries that contacted them; an entry
 * contacts a few control daemons near it, and the leader. The heartbeats of a daemon therefore do
 * not increase with the number of entries. Runs when a daemon changes its state or location, or
 * when the leader changes.
 */
import { hashText, mixBits } from '../../../base/common/hash.js';
import {
  deadlineAfter,
  millisecondsPerSecond,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { Discovery, Role } from '../../../infrastructure/settings/common/deployment.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { contactGroup, DaemonState, type DaemonRow } from './membershipTables.js';

/**
 * Control daemons that an entry contacts. One that is lost or slow to answer then leaves two, whose
 * knowledge of the entry and of upstreams is current.
 */
const contactsPerEntry = 3;

/** Heartbeats that a daemon sends in a second; with more contacts, each gets fewer. */
const heartbeatsPerSecond = 24;

/**
 * Longest interval of heartbeats. Reports of upstreams travel in heartbeats, and a registration
 * must survive the loss of one of them.
 */
export const maximumIntervalMilliseconds: Milliseconds = 1_500;

/** Whether a daemon in this state has recently sent a heartbeat. */
const isHeardFromByState: Readonly<Record<DaemonState, boolean>> = {
  unknown: false,
  alive: true,
  suspected: false,
  leaving: true,
};

/** Whether a daemon has recently sent a heartbeat. */
export const isHeardFrom = ({ state }: DaemonRow): boolean => isHeardFromByState[state];

/** Whether this daemon is a control daemon. */
export const isControlDaemon = (world: World): boolean => world.self.roles.includes(Role.Control);

/** Returns the distance from this daemon: 0 in its zone, 1 in its region, 2 elsewhere. */
export const distanceTo = (world: World, { zone, region }: DaemonRow): number => {
  if (zone === world.self.zone) return 0;
  return region === world.self.region ? 1 : 2;
};

/** Spreads the entries of a zone over its control daemons; the same pair has the same rank. */
const pairRankOf = (world: World, row: DaemonRow): number =>
  mixBits(hashText(`${world.self.name}/${row.id}`));

interface RankedDaemon {
  readonly row: DaemonRow;
  readonly distance: number;
  readonly pairRank: number;
}

/** Returns the control daemons by preference: responsive ones first, then the nearest. */
const rankControlDaemons = (world: World): DaemonRow[] =>
  [...world.daemons.rows()]
    .filter((row) => row.isControl && !row.isSelf)
    .map((row): RankedDaemon => ({
      row,
      distance: distanceTo(world, row),
      pairRank: pairRankOf(world, row),
    }))
    .sort(
      (first, second) =>
        Number(first.row.state === DaemonState.Suspected) -
          Number(second.row.state === DaemonState.Suspected) ||
        first.distance - second.distance ||
        first.pairRank - second.pairRank,
    )
    .map(({ row }) => row);

/** A suspected control daemon stays a contact, so that its recovery is noticed. */
const selectContactsOfEntry = (world: World): ReadonlySet<DaemonId> => {
  const ranked = rankControlDaemons(world);
  const suspected = ranked.filter(({ state }) => state === DaemonState.Suspected);
  const { leader } = replicaOf(world);
  return new Set([
    ...[...ranked.slice(0, contactsPerEntry), ...suspected].map(({ id }) => id),
    ...(leader === null ? [] : [leader]),
  ]);
};

const selectContactsOfControlDaemon = (world: World): ReadonlySet<DaemonId> =>
  new Set(
    [...world.daemons.rows()]
      .filter((row) => row.isControl || isHeardFrom(row))
      .map(({ id }) => id),
  );

const selectContacts = (world: World): ReadonlySet<DaemonId> => {
  if (world.deployment.discovery === Discovery.Listed)
    return new Set([...world.daemons.rows()].map(({ id }) => id));
  return isControlDaemon(world)
    ? selectContactsOfControlDaemon(world)
    : selectContactsOfEntry(world);
};

/** Columns of a daemon that becomes a contact: it gets a heartbeat now and time to answer. */
const newContactColumns = (world: World, now: Instant): Partial<Omit<DaemonRow, 'id'>> => ({
  isContact: true,
  heartbeatDeadline: now,
  suspicionDeadline: deadlineAfter(now, world.deployment.timing.suspicionMilliseconds),
});

/** Marks the contacts of this daemon in the table `daemons`. */
export const updateContacts = (world: World, now: Instant): void => {
  const contacts = selectContacts(world);
  [...world.daemons.rows()]
    .filter(({ id, isContact }) => isContact !== contacts.has(id))
    .forEach(({ id, isContact }) =>
      world.daemons.change(id, isContact ? { isContact: false } : newContactColumns(world, now)),
    );
};

/** Returns the interval of heartbeats to contacts other than the leader. */
export const computeHeartbeatInterval = (world: World): Milliseconds => {
  const { discovery, timing } = world.deployment;
  if (discovery === Discovery.Listed) return timing.heartbeatMilliseconds;
  const evenInterval =
    (world.daemons.count('contact', contactGroup) * millisecondsPerSecond) / heartbeatsPerSecond;
  return Math.max(
    timing.heartbeatMilliseconds,
    Math.min(evenInterval, maximumIntervalMilliseconds),
  );
};

/**
 * Returns the time without a heartbeat after which a daemon is suspected that sends one in each
 * interval.
 */
export const computeSuspicionTimeout = (world: World, interval: Milliseconds): Milliseconds => {
  const { suspicionMilliseconds, heartbeatMilliseconds } = world.deployment.timing;
  return suspicionMilliseconds * Math.max(1, interval / heartbeatMilliseconds);
};

/**
 * Selects the control daemon from which this daemon receives the membership lists: the preferred
 * one among the contacts that are heard from, if possible one with current settings, because one
 * that lost contact with the leader may have lost contact with others too.
 */
export const selectListSource = (world: World): DaemonRow | undefined => {
  const heard = rankControlDaemons(world).filter((row) => row.isContact && isHeardFrom(row));
  return heard.find(({ isFresh }) => isFresh) ?? heard[0];
};

/** Returns the interval of an entry's heartbeats, by what it expects from the contact. */
const computeIntervalOfEntry = (world: World, receiver: DaemonRow): Milliseconds =>
  selectListSource(world)?.id === receiver.id
    ? world.deployment.timing.heartbeatMilliseconds
    : maximumIntervalMilliseconds;

/**
 * Returns the interval of heartbeats to a daemon. The leader replaces voters and assigns work, so
 * what it knows must be recent. An entry sends fewer heartbeats to the contacts that only stand by
 * to replace its list source.
 */
export const computeIntervalTo = (world: World, receiver: DaemonRow): Milliseconds => {
  const { discovery, timing } = world.deployment;
  const isShort = discovery === Discovery.Listed || receiver.id === replicaOf(world).leader;
  if (isShort) return timing.heartbeatMilliseconds;
  return isControlDaemon(world)
    ? computeHeartbeatInterval(world)
    : computeIntervalOfEntry(world, receiver);
};

/** Returns the entries that contact this control daemon and are not control daemons themselves. */
export const listFollowingEntries = (world: World): DaemonRow[] =>
  [...world.daemons.rows()].filter(
    ({ isSelf, isControl, isContact }) => !isSelf && !isControl && isContact,
  );

/** Returns the other control daemons. */
export const listOtherControlDaemons = (world: World): DaemonRow[] =>
  [...world.daemons.rows()].filter(({ isSelf, isControl }) => !isSelf && isControl);
