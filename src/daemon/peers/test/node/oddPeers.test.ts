/**
 * A daemon whose peer address cannot be connected to, as a list between daemons may name it: the
 * messages to it are dropped, and those to others are sent.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createHybridLogicalClock } from '../../../../infrastructure/timeline/common/hybridLogicalClock.js';
import type { DaemonId } from '../../../../service/world/common/identifiers.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { openPeerPort } from '../../node/peerPort.js';

const wallClock = (): number => 0;

['127.0.0.1:99999', '127.0.0.1:x', 'x', '', '127.0.0.1:-1'].forEach((peerAddress) =>
  test(`a message to a daemon at "${peerAddress}" is dropped`, async (t) => {
    const { world } = createFleetCore();
    const [self] = [...world.daemons.rows()];
    const id = asBrand<DaemonId>('d9');
    world.daemons.put({ ...self!, id, isSelf: false, peerAddress });
    const listening = { ...world, self: { ...world.self, peerAddress: '127.0.0.1:0' } };
    const opened = await openPeerPort(listening, createHybridLogicalClock(wallClock), () => {});
    const port = opened._unsafeUnwrap();
    t.teardown(() => port.dispose());
    const askedAt = { incarnation: 1, at: 0 };
    const message = { kind: 'followRequested', afterIndex: 0, isRelay: false, askedAt } as const;
    world.outgoingMessages.append({ to: id, message });
    t.notThrows(() => port.drain());
    world.outgoingMessages.append({ to: id, message });
    t.notThrows(() => port.drain());
  }),
);
