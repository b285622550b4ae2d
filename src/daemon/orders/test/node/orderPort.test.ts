import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { encodeAnswer, Framing } from '../../../../../standins/hostile/rawAnswers.js';
import { startRawServer } from '../../../../../standins/hostile/rawServer.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import type { OrderFact, OrderId } from '../../../../service/orders/common/orderTables.js';
import { createOrderPort } from '../../node/orderPort.js';

test('a late copy of the answer to an order does not tell that the next one is done', async (t) => {
  let copy = '';
  const server = await startRawServer(({ connection, position }, socket) => {
    const status = connection === 0 && position === 0 ? 200 : 409;
    const bytes = encodeAnswer({ status, headers: {}, body: '{}', framing: Framing.Length });
    socket.write(copy !== '' && connection === 0 ? copy : bytes);
    copy = bytes;
  });
  t.teardown(server.dispose);
  const { world, now } = createFleetCore();
  let handleFact: (fact: OrderFact) => void = () => {};
  const port = createOrderPort(world, now, () => world.orderFacts.takeAll().forEach(handleFact));
  t.teardown(port.dispose);
  const sendOrder = (name: string): Promise<OrderFact> =>
    new Promise((resolve) => {
      handleFact = resolve;
      world.orderRequests.append({
        kind: 'send',
        order: asBrand<OrderId>(name),
        address: `http://${server.address}`,
        body: { order: name } as never,
      });
      port.drain();
    });
  t.deepEqual(await sendOrder('first'), { kind: 'done', order: asBrand<OrderId>('first') });
  // A connection is used again only after a turn of the event loop.
  await delay(20);
  t.deepEqual(await sendOrder('second'), { kind: 'refused', order: asBrand<OrderId>('second') });
});
