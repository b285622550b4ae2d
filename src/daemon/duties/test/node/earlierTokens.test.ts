/**
 * Rows that hold the fencing token of an earlier leadership, at the ports that send them.
 */
import { setImmediate as nextPoll } from 'node:timers/promises';
import test from 'ava';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { capacityOrderIdOf } from '../../../../service/capacity/common/capacityTables.js';
import { leadershipOf } from '../../../../service/consensus/common/lease.js';
import { usageWindowIdOf } from '../../../../service/metering/common/meteringTables.js';
import { createCapacityOrderPort } from '../../node/capacityOrderPort.js';
import { createUsageReportPort } from '../../node/usageReportPort.js';

test('a usage report with the token of an earlier leadership is not sent', async (t) => {
  const { world, now } = createFleetCore();
  const sent: number[] = [];
  const port = createUsageReportPort(
    world,
    ({ fencing }) => {
      sent.push(fencing);
      return Promise.resolve(null);
    },
    now,
    () => {},
  );
  t.teardown(port.dispose);
  const { fencing } = leadershipOf(world);
  [fencing - 1, fencing].forEach((token, window) =>
    world.usageReports.put({
      id: usageWindowIdOf(window),
      window,
      counts: {},
      fencing: token,
      isInFlight: true,
      sendDeadline: now(),
    }),
  );
  port.drain();
  await nextPoll();
  t.deepEqual(sent, [fencing]);
});

test('a capacity order with the token of an earlier leadership is not sent', async (t) => {
  const { world, now } = createFleetCore();
  const sent: number[] = [];
  const port = createCapacityOrderPort(
    world,
    ({ fencing }) => {
      sent.push(fencing);
      return Promise.resolve(null);
    },
    now,
    () => {},
  );
  t.teardown(port.dispose);
  const { fencing } = leadershipOf(world);
  [fencing - 1, fencing].forEach((token, position) =>
    world.capacityOrders.put({
      id: capacityOrderIdOf('planner', `z${position}`),
      service: 'planner',
      zone: `z${position}`,
      count: 1,
      accepted: null,
      fencing: token,
      isInFlight: true,
      sendDeadline: now(),
    }),
  );
  port.drain();
  await nextPoll();
  t.deepEqual(sent, [fencing]);
});
