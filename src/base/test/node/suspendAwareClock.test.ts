import test from 'ava';
import type { ClockJump } from '../../common/time.js';
import { createSuspendAwareClock } from '../../node/monotonicClock.js';

const createClocks = () => {
  const clocks = { monotonic: 100, wall: 1_000_000 };
  const { clock, onDidJump } = createSuspendAwareClock(
    () => clocks.monotonic,
    () => clocks.wall,
  );
  const jumps: ClockJump[] = [];
  onDidJump((jump) => jumps.push(jump));
  const advance = (monotonic: number, wall: number): number => {
    clocks.monotonic += monotonic;
    clocks.wall += wall;
    return clock();
  };
  return { advance, jumps };
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

test('a jump is reported with the reading that includes it', (t) => {
  const { advance, jumps } = createClocks();
  advance(10, 60);
  advance(10, -5_000);
  t.deepEqual(jumps, []);
  advance(5, 4_005);
  t.deepEqual(jumps, [{ from: 125, to: 4_125 }]);
  advance(10, 10);
  t.is(jumps.length, 1);
});
