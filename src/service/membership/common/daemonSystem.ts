/**
 * Sends heartbeats to the other daemons, and marks daemons whose heartbeats stop as suspected. It
 * also inserts daemons that are named by changed settings, and removes expired advised entries.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { Discovery, Role } from '../../../infrastructure/settings/common/deployment.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { selectEntriesFor } from '../../advice/common/advisedEntries.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { hasFreshSettings } from '../../configuration/common/keyChecks.js';
import { servedId } from '../../configuration/common/servedTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import { recentDepartures } from '../../registry/common/registrySystem.js';
import { RequestState } from '../../traffic/common/trafficTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { Member, MembershipMessage } from './membershipMessages.js';
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

const createMember = (row: DaemonRow): Member => ({
  name: row.id,
  ...(row.label === '' ? {} : { label: row.label }),
  zone: row.zone,
  region: row.region,
  roles: [...(row.isEntry ? [Role.Entry] : []), ...(row.isControl ? [Role.Control] : [])],
  callerAddress: row.callerAddress,
  peerAddress: row.peerAddress,
});

type HeartbeatDetails = Pick<
  Extract<MembershipMessage, { kind: 'heartbeat' }>,
  'member' | 'controlDaemons' | 'voters' | 'departures' | 'endedTerm' | 'entries'
>;

/**
 * Creates the fields of a heartbeat that describe this daemon, the control daemons and the voters.
 * Returns no fields if the settings list all daemons.
 */
const createHeartbeatDetails = (
  world: World,
  receiver: DaemonRow,
  now: Instant,
): HeartbeatDetails => {
  if (world.deployment.discovery === Discovery.Listed) return {};
  const rows = [...world.daemons.rows()];
  const member = createMember(rows.find((row) => row.isSelf)!);
  if (!world.self.roles.includes(Role.Control)) return { member };
  const aliveControlDaemons = rows.filter(
    (row) => row.isControl && row.state === DaemonState.Alive,
  );
  const controlDaemons = aliveControlDaemons.map(createMember);
  const departures = recentDepartures(world, now);
  const entries = receiver.isEntry ? { entries: selectEntriesFor(world, receiver) } : {};
  const details = { member, controlDaemons, departures, ...entries };
  if (!world.members.has(asBrand(world.self.name))) return details;
  const names = [...world.members.rows()].map(({ id }) => id);
  const { votersIndex, commitIndex, endedTerm } = replicaOf(world);
  // A change that is not committed can be reverted, so heartbeats do not include it.
  const voters = votersIndex <= commitIndex ? { voters: { index: votersIndex, names } } : {};
  return { ...details, ...voters, endedTerm };
};

const computeOwnLoad = (world: World): number =>
  world.requests.count('state', RequestState.Waiting) +
  world.requests.count('state', RequestState.Running);

const sendHeartbeat = (world: World, daemon: DaemonRow, now: Instant): void => {
  const { heartbeatMilliseconds } = world.deployment.timing;
  world.daemons.change(daemon.id, {
    heartbeatDeadline: deadlineAfter(now, heartbeatMilliseconds),
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

const markSuspected = (world: World, daemon: DaemonRow): void => {
  world.daemons.change(daemon.id, { state: DaemonState.Suspected });
  world.events.append({ kind: EventKind.PeerSuspected, subject: { daemon: daemon.id } });
};

/** Creates the system that sends heartbeats and suspects daemons. */
export const createDaemonSystem = (world: World): System => ({
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
    world.daemons.takeDue('heartbeat', now).forEach((daemon) => sendHeartbeat(world, daemon, now));
  },
});
