/** Timeline: stamps increase, effects follow their causes, and merging is deterministic. */
import test from 'ava';
import { createHybridLogicalClock } from '../../common/hybridLogicalClock.js';
import { mergeTimelines, type TimelineEvent } from '../../common/timelineEvent.js';

const eventAt = (wall: number, counter: number, process: string): TimelineEvent => ({
  stamp: { wall, counter },
  process,
  kind: 'test',
  subject: {},
});

test('stamps increase although the wall clock goes backwards', (t) => {
  const readings = [10, 4, 4, 11];
  const clock = createHybridLogicalClock(() => readings.shift()!);
  const stamps = [clock.next(), clock.next(), clock.next(), clock.next()];
  t.deepEqual(stamps, [
    { wall: 10, counter: 0 },
    { wall: 10, counter: 1 },
    { wall: 10, counter: 2 },
    { wall: 11, counter: 0 },
  ]);
});

test('the next stamp is later than that of a received message', (t) => {
  const clock = createHybridLogicalClock(() => 5);
  clock.observe({ wall: 90, counter: 3 });
  t.deepEqual(clock.next(), { wall: 90, counter: 4 });
});

test('merging orders by stamp and then by process', (t) => {
  const first = [eventAt(1, 0, 'b'), eventAt(3, 0, 'b')];
  const second = [eventAt(1, 0, 'a'), eventAt(2, 5, 'a')];
  const order = mergeTimelines([first, second]).map(({ stamp, process }) => [stamp.wall, process]);
  t.deepEqual(order, [
    [1, 'a'],
    [1, 'b'],
    [2, 'a'],
    [3, 'b'],
  ]);
});
