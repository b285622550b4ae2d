/** The ordering stand-in: fencing, idempotent order ids, unavailable zones and lost answers. */
import test from 'ava';
import { request } from 'undici';
import {
  upstreamOrdersPath,
  type UpstreamOrder,
} from '../../../src/service/protocol/common/platformProtocol.js';
import { FaultKind } from '../../faults/faults.js';
import { startOrdering } from '../ordering.js';

const order: UpstreamOrder = {
  order: 'a',
  fencing: 5,
  zone: 'north',
  service: 'planner',
  reclaimable: true,
  count: 3,
};

const send = async (address: string, changed: Partial<UpstreamOrder> = {}) => {
  const answer = await request(`${address}${upstreamOrdersPath}`, {
    method: 'POST',
    body: JSON.stringify({ ...order, ...changed }),
  });
  await answer.body.dump();
  return answer.statusCode;
};

test('an order sets the count, and repeating it changes nothing', async (t) => {
  const ordering = await startOrdering();
  t.teardown(ordering.dispose);
  t.is(await send(ordering.address), 200);
  t.is(await send(ordering.address, { order: 'b', fencing: 6, count: 4 }), 200);
  t.is(await send(ordering.address), 200);
  t.is(await send(ordering.address, { count: 9 }), 409);
  t.deepEqual(ordering.desired(), [
    { zone: 'north', service: 'planner', reclaimable: true, count: 4 },
  ]);
  t.is(ordering.received().length, 4);
  t.is(ordering.counters().differentOrder, 1);
});

test('an older fencing token is refused', async (t) => {
  const ordering = await startOrdering();
  t.teardown(ordering.dispose);
  await send(ordering.address);
  t.is(await send(ordering.address, { order: 'b', fencing: 4, count: 0 }), 409);
  t.is(ordering.counters().olderFencing, 1);
  t.is(ordering.desired()[0]?.count, 3);
});

test('orders for an unavailable zone are refused until it is available again', async (t) => {
  const ordering = await startOrdering();
  t.teardown(ordering.dispose);
  ordering.setZoneAvailable('north', false);
  t.is(await send(ordering.address), 503);
  t.deepEqual(ordering.desired(), []);
  ordering.setZoneAvailable('north', true);
  t.is(await send(ordering.address), 200);
});

test('an order whose answer is lost has been executed', async (t) => {
  const ordering = await startOrdering({
    faults: [{ fault: { kind: FaultKind.LoseOrderAnswer } }],
  });
  t.teardown(ordering.dispose);
  await t.throwsAsync(send(ordering.address));
  t.is(ordering.desired()[0]?.count, 3);
});
