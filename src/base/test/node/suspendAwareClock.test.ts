import test from 'ava';
import { createSuspendAwareClock } from '../../node/monotonicClock.js';

const createClocks = () => {
  const clocks = { monotonic: 100, wall: 1_000_000 };
  const clock = createSuspendAwareClock(
    () => clocks.monotonic,
    () => clocks.wall,
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
