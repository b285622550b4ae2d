/**
 * Exchanges heartbeats with the contacts of this daemon, and marks contacts whose heartbeats stop
 * as suspected. It also inserts daemons that are named by changed settings, and removes expired
 * advised entries.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { Discovery } from '../../../infrastructure/settings/common/deployment.js';
import { createDerivedChanges } from '../../../infrastructure/tables/common/derivedChanges.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { hasFreshSettings } from '../../configuration/common/keyChecks.js';
import { servedId } from '../../configuration/common/servedTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import { listOwnReports } from '../../registry/common/registrations.js';
import { recentDepartures } from '../../registry/common/registrySystem.js';
import { RequestState } from '../../traffic/common/trafficTables.js';
import type { World } from '../../world/common/world.js';
import {
  computeIntervalTo,
  isControlDaemon,
  selectListSource,
  updateContacts,
} from './contacts.js';
import { insertMember } from './daemonRows.js';
import {
  createListChanges,
  createListsFor,
  createMember,
  increaseListsVersion,
  ownListsVersionOf,
} from './membershipLists.js';
import type { MembershipMessage } from './membershipMessages.js';
import { DaemonState, type DaemonRow } from './membershipTables.js';

type Heartbeat = Extract<MembershipMessage, { kind: 'heartbeat' }>;

/** Asks the receiver for its lists if it is the list source, or if there is none yet. */
const createListRequest = (world: World, receiver: DaemonRow): Pick<Heartbeat, 'heldLists'> => {
  const source = selectListSource(world);
  const isAsked = receiver.isControl && (source === undefined || source.id === receiver.id);
  return isAsked ? { heldLists: receiver.appliedLists } : {};
};

const createListFields = (
  world: World,
  receiver: DaemonRow,
  now: Instant,
): Pick<Heartbeat, 'listsVersion' | 'lists'> => {
  const listsVersion = ownListsVersionOf(world);
  const isOutdated = receiver.heldLists !== null && receiver.heldLists !== listsVersion;
  return isOutdated
    ? { listsVersion, lists: createListsFor(world, receiver, now) }
    : { listsVersion };
};

const createVoterFields = (world: World): Pick<Heartbeat, 'voters' | 'endedTerm'> => {
  if (!world.members.has(asBrand(world.self.name))) return {};
  const names = [...world.members.rows()].map(({ id }) => id);
  const { votersIndex, commitIndex, endedTerm } = replicaOf(world);
  // A change that is not committed can be reverted, so heartbeats do not include it.
  return votersIndex <= commitIndex
    ? { voters: { index: votersIndex, names }, endedTerm }
    : { endedTerm };
};

/** Creates the fields of a heartbeat that only control daemons send. */
const createControlFields = (world: World, receiver: DaemonRow, now: Instant) => {
  const departures = recentDepartures(world, now);
  const reports = receiver.isControl ? listOwnReports(world, now) : [];
  return {
    ...(departures.length === 0 ? {} : { departures }),
    ...(reports.length === 0 ? {} : { reports }),
    ...createListFields(world, receiver, now),
    ...createVoterFields(world),
  };
};

/**
 * Creates the fields of a heartbeat that describe this daemon and what it knows. Returns no fields
 * if the settings list all daemons.
 */
const createHeartbeatDetails = (
  world: World,
  receiver: DaemonRow,
  now: Instant,
): Partial<Heartbeat> => {
  if (world.deployment.discovery === Discovery.Listed) return {};
  const self = world.daemons.get(asBrand(world.self.name))!;
  return {
    member: createMember(self),
    intervalMilliseconds: computeIntervalTo(world, receiver),
    ...createListRequest(world, receiver),
    ...(self.isControl ? createControlFields(world, receiver, now) : {}),
  };
};

/** Heartbeats that are due within this time are sent together, which saves wake-ups. */
const heartbeatAlignmentMilliseconds = 50;

const computeOwnLoad = (world: World): number =>
  world.requests.count('state', RequestState.Waiting) +
  world.requests.count('state', RequestState.Running);

const sendHeartbeat = (world: World, daemon: DaemonRow, now: Instant): void => {
  const intervalMilliseconds = computeIntervalTo(world, daemon);
  world.daemons.change(daemon.id, {
    heartbeatDeadline: deadlineAfter(now, intervalMilliseconds),
  });
  world.outgoingMessages.append({
    to: daemon.id,
    message: {
      kind: 'heartbeat',
      incarnation: world.incarnation,
      load: computeOwnLoad(world),
      leaving: world.isLeaving(),
      revision: world.served.get(servedId)!.revision,
      isFresh: hasFreshSettings(world, now),
      ...createHeartbeatDetails(world, daemon, now),
    },
  });
};

/** Sends the next heartbeats to these daemons by `deadline`, if they are not due before. */
const advanceHeartbeats = (world: World, daemons: Iterable<DaemonRow>, deadline: Instant): void =>
  [...daemons].forEach(({ id, heartbeatDeadline }) =>
    world.daemons.change(id, { heartbeatDeadline: Math.min(heartbeatDeadline, deadline) }),
  );

/** Changes of the lists within this time are sent together. */
const listDelayMilliseconds = 150;

/** Makes changed lists reach the daemons that ask for them before their next usual heartbeat. */
const announceLists = (world: World, now: Instant): void => {
  increaseListsVersion(world);
  const receivers = [...world.daemons.rows()].filter(({ heldLists }) => heldLists !== null);
  advanceHeartbeats(world, receivers, deadlineAfter(now, listDelayMilliseconds));
};

const markSuspected = (world: World, daemon: DaemonRow): void => {
  world.daemons.change(daemon.id, { state: DaemonState.Suspected });
  world.events.append({ kind: EventKind.PeerSuspected, subject: { daemon: daemon.id } });
};

/** Creates the system that sends heartbeats and suspects daemons. */
export const createDaemonSystem = (world: World): System => {
  const isControl = isControlDaemon(world);
  const listChanges = createListChanges(world);
  const contactChanges = [
    createDerivedChanges(world.daemons, ({ state, zone, region }) => [state, zone, region].join()),
    createDerivedChanges(world.replica, ({ leader }) => leader ?? undefined),
  ];

  let hasAnnouncedLeaving = false;

  return {
    name: 'daemon',
    run: (now) => {
      world.namedDaemons
        .takeAll()
        .filter(({ name }) => !world.daemons.has(asBrand(name)))
        .forEach((member) => insertMember(world, member, now));
      world.advisedEntries
        .takeDue('retention', now)
        .forEach(({ id }) => world.advisedEntries.remove(id));
      world.daemons.takeDue('suspicion', now).forEach((daemon) => markSuspected(world, daemon));
      if (listChanges.take() && isControl) announceLists(world, now);
      if (world.isLeaving() && !hasAnnouncedLeaving) {
        hasAnnouncedLeaving = true;
        advanceHeartbeats(world, world.daemons.rows(), now);
      }
      if (contactChanges.map((changes) => changes.take()).includes(true))
        updateContacts(world, now);
      world.daemons
        .takeDue('heartbeat', deadlineAfter(now, heartbeatAlignmentMilliseconds))
        .forEach((daemon) => sendHeartbeat(world, daemon, now));
    },
  };
};
