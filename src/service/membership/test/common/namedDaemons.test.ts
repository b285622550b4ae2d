import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { Role } from '../../../../infrastructure/settings/common/deployment.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import type { DaemonId } from '../../../world/common/identifiers.js';

const namedMember = {
  name: '10.1.0.99',
  zone: '',
  region: '',
  roles: [Role.Control],
  callerAddress: '10.1.0.99:8407',
  peerAddress: '10.1.0.99:7660',
};

test('a control daemon that changed settings name is greeted with the next tick', (t) => {
  const core = createFleetCore();
  core.world.namedDaemons.append(namedMember);
  core.settle();
  const row = core.world.daemons.get(asBrand<DaemonId>(namedMember.name));
  t.like(row, { isControl: true, peerAddress: namedMember.peerAddress });
  t.true(row!.heartbeatDeadline > core.now(), 'its first heartbeat was sent');
});

test('settings that name a known daemon change nothing of what it said of itself', (t) => {
  const core = createFleetCore();
  const [self] = [...core.world.daemons.rows()];
  core.world.namedDaemons.append({ ...namedMember, name: String(self!.id) });
  core.settle();
  t.deepEqual(core.world.daemons.get(self!.id), self);
});
