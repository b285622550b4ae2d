import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import { bootClock, createSuspendAwareClock, monotonicClock } from '../../node/monotonicClock.js';

/** Clocks of a VM that does not tell the time since its start. */
const createClocks = () => {
  const clocks = { monotonic: 100, wall: 1_000_000 };
  const clock = createSuspendAwareClock(
    () => clocks.monotonic,
    () => clocks.wall,
    () => undefined,
  );
  const advance = (monotonic: number, wall: number): number => {
    clocks.monotonic += monotonic;
    clocks.wall += wall;
    return clock();
  };
  return { advance };
};

test('the clock includes the time during which the VM was suspended', (t) => {
  const { advance } = createClocks();
  t.is(advance(10, 10), 110);
  t.is(advance(5, 4_005), 4_115);
  t.is(advance(10, 10), 4_125);
});

test('small corrections and backward steps of the wall clock have no effect', (t) => {
  const { advance } = createClocks();
  t.is(advance(10, 60), 110);
  t.is(advance(10, -5_000), 120);
  t.is(advance(10, 10), 130);
});

/** Clocks of a VM that tells the time since its start. */
const createBootedClocks = () => {
  const clocks = { monotonic: 100, wall: 1_000_000, boot: 7_000 };
  let reads = 0;
  const clock = createSuspendAwareClock(
    () => clocks.monotonic,
    () => clocks.wall,
    () => {
      reads += 1;
      // The system tells it in hundredths of a second.
      return Math.floor(clocks.boot / 10) * 10;
    },
  );
  const advance = (monotonic: number, wall: number, boot: number): number => {
    clocks.monotonic += monotonic;
    clocks.wall += wall;
    clocks.boot += boot;
    return clock();
  };
  return { advance, reads: () => reads };
};

/** The time since the start is rounded up, as leases may end early and not late. */
const isSlightlyMore = (actual: number, expected: number): boolean =>
  actual >= expected && actual <= expected + 20;

test('the time of day jumps forward, back and forward again, and the clock goes on as before', (t) => {
  const { advance } = createBootedClocks();
  t.is(advance(10, 2_010, 10), 110);
  t.is(advance(10, -1_990, 10), 120);
  t.is(advance(10, 3_010, 10), 130);
  t.is(advance(1_000, -2_000, 1_000), 1_130);
  t.is(advance(1_000, 4_000, 1_000), 2_130);
});

test('the clock includes a suspension although the time of day was set back meanwhile', (t) => {
  const { advance } = createBootedClocks();
  t.is(advance(200, 200, 200), 300);
  // Noticed with the next regular reading of the time since the start.
  advance(1, -2_000, 4_001);
  t.true(isSlightlyMore(advance(100, 100, 100), 4_401));
  t.true(isSlightlyMore(advance(1_000, 1_000, 1_000), 5_401));
});

test('a suspension that the time of day shows is included at once', (t) => {
  const { advance } = createBootedClocks();
  t.true(isSlightlyMore(advance(5, 4_005, 4_005), 4_105));
  t.true(isSlightlyMore(advance(1_000, 1_000, 1_000), 5_105));
});

test('the time since the start is read only as often as needed', (t) => {
  const { advance, reads } = createBootedClocks();
  for (let count = 0; count < 1_000; count += 1) advance(1, 1, 1);
  t.true(reads() <= 12, `${reads()} reads in 1 s`);
});

test('the system tells the time since its start, which advances as the monotonic clock', async (t) => {
  const first = bootClock();
  if (first === undefined) {
    t.pass('no such clock here');
    return;
  }
  const start = monotonicClock();
  await delay(50);
  const elapsed = monotonicClock() - start;
  t.true(Math.abs(bootClock()! - first - elapsed) <= 30);
});
