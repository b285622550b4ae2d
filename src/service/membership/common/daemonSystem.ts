/**
 * Heartbeats between daemons, and suspicion of those that fall silent.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { DaemonSettings } from '../../../infrastructure/settings/common/deployment.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { isFresh } from '../../configuration/common/keyInForce.js';
import { servedId } from '../../configuration/common/servedTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import { RequestState } from '../../traffic/common/trafficTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { DaemonState, type DaemonRow } from './membershipTables.js';

const createDaemonRow = (world: World, settings: DaemonSettings, now: Instant): DaemonRow => {
  const isSelf = settings.name === world.self.name;
  return {
    id: asBrand<DaemonId>(settings.name),
    zone: settings.zone,
    region: settings.region,
    callerAddress: settings.callerAddress,
    isEntry: settings.roles.includes('entry'),
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

/** Puts every daemon of the settings into the table; done once, before the first tick. */
export const insertDaemons = (world: World, now: Instant): void =>
  world.deployment.daemons.forEach((settings) => {
    world.daemons.put(createDaemonRow(world, settings, now));
  });

const ownLoad = (world: World): number =>
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
      load: ownLoad(world),
      leaving: world.isLeaving(),
      revision: world.served.get(servedId)!.revision,
      isFresh: isFresh(world, now),
    },
  });
};

const suspect = (world: World, daemon: DaemonRow): void => {
  world.daemons.change(daemon.id, { state: DaemonState.Suspected });
  world.events.append({ kind: EventKind.PeerSuspected, subject: { daemon: daemon.id } });
};

/** Creates the system of heartbeats and suspicion. */
export const createDaemonSystem = (world: World): System => ({
  name: 'daemon',
  run: (now) => {
    world.daemons.takeDue('suspicion', now).forEach((daemon) => suspect(world, daemon));
    world.daemons.takeDue('heartbeat', now).forEach((daemon) => sendHeartbeat(world, daemon, now));
  },
});
