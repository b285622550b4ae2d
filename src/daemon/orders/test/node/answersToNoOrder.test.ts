import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { encodeAnswer, Framing } from '../../../../../standins/hostile/rawAnswers.js';
import { startRawServer } from '../../../../../standins/hostile/rawServer.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import type { OrderFact, OrderId } from '../../../../service/orders/common/orderTables.js';
import { createOrderPort } from '../../node/orderPort.js';

const answer = encodeAnswer({ status: 200, headers: {}, body: '{}', framing: Framing.Length });

/** Sends an order that is answered with these bytes, one character a byte, and returns its outcome. */
const orderOnce = async (bytes: string): Promise<OrderFact['kind']> => {
  const server = await startRawServer((_request, socket) => {
    socket.end(bytes, 'latin1');
  });
  const { world, now } = createFleetCore();
  let handleFact: (fact: OrderFact) => void = () => {};
  const port = createOrderPort(world, now, () => world.orderFacts.takeAll().forEach(handleFact));
  const fact = await new Promise<OrderFact>((resolve) => {
    handleFact = resolve;
    world.orderRequests.append({
      kind: 'send',
      order: asBrand<OrderId>('first'),
      address: `http://${server.address}`,
      body: { order: 'first' } as never,
    });
    port.drain();
  });
  await port.dispose();
  await server.dispose();
  return fact.kind;
};

test('an order whose answer has status 200 is done', async (t) => {
  t.is(await orderOnce(answer), 'done');
});

['000', '001', '099'].forEach((status) =>
  test(`an order whose answer has status ${status} is not done`, async (t) => {
    t.is(await orderOnce(answer.replace('200', status)), 'unknown');
  }),
);

['x odd', 'x-odd ', ' x-odd', 'x-\todd', 'x-\0odd', 'x-\u0001odd', 'x-\u007fodd'].forEach((name) =>
  test(`an order whose answer has a field named ${JSON.stringify(name)} is not done`, async (t) => {
    t.is(await orderOnce(answer.replace('\r\n', `\r\n${name}: 1\r\n`)), 'unknown');
  }),
);
