/**
 * A daemon whose wall clock was set back between two starts: its new process has a lower incarnation
 * than the one before, and must count as alive again once the earlier process is known to be silent.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { Role } from '../../../../infrastructure/settings/common/deployment.js';
import type { Message } from '../../../messages/common/message.js';
import type { DaemonId } from '../../../world/common/identifiers.js';
import { DaemonState } from '../../common/membershipTables.js';

const name = asBrand<DaemonId>('d9');
const silenceMilliseconds = 20_000;

const heartbeatOf = (incarnation: number): Message => ({
  kind: 'heartbeat',
  incarnation,
  load: 0,
  leaving: false,
  revision: 0,
  isFresh: true,
  member: {
    name,
    label: name,
    zone: 'z1',
    region: 'r1',
    roles: [Role.Entry],
    callerAddress: '127.0.0.1:1',
    peerAddress: '127.0.0.1:2',
  },
});

const receive = (core: FleetCore, incarnation: number): void => {
  core.world.incomingMessages.append({ from: name, message: heartbeatOf(incarnation) });
  core.settle();
};

const daemonOf = (core: FleetCore) => core.world.daemons.get(name);

test('a daemon that starts again with an earlier wall clock counts as alive again', (t) => {
  const core = createFleetCore();
  receive(core, 200);
  t.like(daemonOf(core), { state: DaemonState.Alive, incarnation: 200 });
  core.runFor(silenceMilliseconds);
  t.is(daemonOf(core)?.state, DaemonState.Suspected);
  receive(core, 100);
  t.like(daemonOf(core), { state: DaemonState.Alive, incarnation: 100 });
});

test('a late heartbeat of an earlier process changes nothing while the new one is alive', (t) => {
  const core = createFleetCore();
  receive(core, 200);
  receive(core, 100);
  t.like(daemonOf(core), { state: DaemonState.Alive, incarnation: 200 });
});
