import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { encodeAnswer, Framing } from '../../../../../standins/hostile/rawAnswers.js';
import { endOf } from '../../../../../standins/hostile/connectionEnds.js';
import { startRawServer } from '../../../../../standins/hostile/rawServer.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import type { OrderFact, OrderId } from '../../../../service/orders/common/orderTables.js';
import { createOrderPort } from '../../node/orderPort.js';

const leaseMilliseconds = 1_200;

interface TestPort {
  /** Sends an order and resolves to its result. */
  readonly sendOrder: (name: string) => Promise<OrderFact>;
  /** Advances the clock of the port without running the systems of its daemon. */
  readonly holdTicks: (milliseconds: number) => void;
}

const openPort = (t: ExecutionContext, address: string): TestPort => {
  const { world, now } = createFleetCore();
  let heldMilliseconds = 0;
  let handleFact: (fact: OrderFact) => void = () => {};
  const clock = () => now() + heldMilliseconds;
  const port = createOrderPort(world, clock, () => world.orderFacts.takeAll().forEach(handleFact));
  t.teardown(port.dispose);
  return {
    sendOrder: (name) =>
      new Promise((resolve) => {
        handleFact = resolve;
        world.orderRequests.append({
          kind: 'send',
          order: asBrand<OrderId>(name),
          address: `http://${address}`,
          body: { order: name } as never,
        });
        port.drain();
      }),
    holdTicks: (milliseconds) => {
      heldMilliseconds += milliseconds;
    },
  };
};

test('an order is not written to a connection that is established after the lease has ended', async (t) => {
  const server = await startRawServer((_request, socket) => {
    socket.write(encodeAnswer({ status: 200, headers: {}, body: '{}', framing: Framing.Length }));
  });
  t.teardown(server.dispose);
  const { sendOrder, holdTicks } = openPort(t, server.address);
  const fact = sendOrder('first');
  holdTicks(leaseMilliseconds);
  t.deepEqual(await fact, { kind: 'notSent', order: asBrand<OrderId>('first') });
  t.is(server.requests.length, 0);
});

test('an order without an answer is reset, so that its bytes do not arrive later', async (t) => {
  const upstream = createServer();
  upstream.listen(0, '127.0.0.1');
  await once(upstream, 'listening');
  t.teardown(() => upstream.close());
  const ended = once(upstream, 'connection').then(endOf);
  const { port } = upstream.address() as AddressInfo;
  const { sendOrder } = openPort(t, `127.0.0.1:${port}`);
  const fact = sendOrder('first');
  t.is(await ended, 'ECONNRESET');
  t.deepEqual(await fact, { kind: 'unknown', order: asBrand<OrderId>('first') });
});

test('a late copy of the answer to an order does not tell that the next one is done', async (t) => {
  let copy = '';
  const server = await startRawServer(({ connection, position }, socket) => {
    const status = connection === 0 && position === 0 ? 200 : 409;
    const bytes = encodeAnswer({ status, headers: {}, body: '{}', framing: Framing.Length });
    socket.write(copy !== '' && connection === 0 ? copy : bytes);
    copy = bytes;
  });
  t.teardown(server.dispose);
  const { sendOrder } = openPort(t, server.address);
  t.deepEqual(await sendOrder('first'), { kind: 'done', order: asBrand<OrderId>('first') });
  // A connection is used again only after a turn of the event loop.
  await delay(20);
  t.deepEqual(await sendOrder('second'), { kind: 'refused', order: asBrand<OrderId>('second') });
});
