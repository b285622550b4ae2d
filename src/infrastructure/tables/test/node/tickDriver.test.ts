import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import { ok } from 'neverthrow';
import { monotonicClock } from '../../../../base/node/monotonicClock.js';
import { never } from '../../../../base/common/time.js';
import { createTickDriver, wakeSoonMilliseconds } from '../../node/tickDriver.js';

const idleTicker = { tick: () => ok(undefined), nextDeadline: () => never };

const openDriver = async () => {
  const driver = createTickDriver(
    idleTicker,
    monotonicClock,
    () => {},
    () => {},
  );
  // The tick of the start.
  await delay(1);
  return driver;
};

test('frequent input on which nothing waits is handled in few ticks', async (t) => {
  const driver = await openDriver();
  const ticksBefore = driver.ticks();
  const startedAt = monotonicClock();
  const duration = 10 * wakeSoonMilliseconds;
  let inputs = 0;
  while (monotonicClock() < startedAt + duration) {
    driver.wakeSoon();
    inputs += 1;
    await delay(1);
  }
  const passed = monotonicClock() - startedAt;
  const ticks = driver.ticks() - ticksBefore;
  t.true(inputs > ticks, `${ticks} ticks for ${inputs} inputs`);
  // Timers of Node.js may fire up to a millisecond early.
  t.true(ticks <= passed / (wakeSoonMilliseconds - 1), `${ticks} ticks in ${passed} ms`);
  t.true(ticks > 0);
  driver.dispose();
});

test('a tick that is wanted at once takes the other input along', async (t) => {
  const driver = await openDriver();
  const ticksBefore = driver.ticks();
  driver.wakeSoon();
  driver.wake();
  await delay(2 * wakeSoonMilliseconds);
  t.is(driver.ticks() - ticksBefore, 1);
  driver.dispose();
});

test('a driver that is disposed of does not tick', async (t) => {
  const driver = await openDriver();
  const ticksBefore = driver.ticks();
  driver.wakeSoon();
  driver.dispose();
  driver.wakeSoon();
  await delay(2 * wakeSoonMilliseconds);
  t.is(driver.ticks(), ticksBefore);
});
