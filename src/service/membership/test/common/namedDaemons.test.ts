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

test('a control daemon named by changed settings receives a heartbeat on the next tick', (t) => {
  const core = createFleetCore();
  core.world.namedDaemons.append(namedMember);
  core.settle();
  const row = core.world.daemons.get(asBrand<DaemonId>(namedMember.name));
  t.like(row, { isControl: true, peerAddress: namedMember.peerAddress });
  t.true(row!.heartbeatDeadline > core.now(), 'the first heartbeat was sent');
});

test('changed settings do not overwrite the reported columns of an existing daemon', (t) => {
  const core = createFleetCore();
  const [self] = [...core.world.daemons.rows()];
  core.world.namedDaemons.append({ ...namedMember, name: String(self!.id) });
  core.settle();
  t.deepEqual(core.world.daemons.get(self!.id), self);
});
