import test from 'ava';
import { createBodyMemory, smallBodyBytes } from '../../common/bodyMemory.js';

const mebibyte = 1024 * 1024;
const chunkBytes = 64 * 1024;
const tickMilliseconds = 100;
const failIfGivingWay = (): void => {
  throw new Error('the body gave way');
};

test('a crowd of bodies that stop before their end stays within the memory', (t) => {
  const memory = createBodyMemory(40 * mebibyte);
  const crowd = Array.from({ length: 60 }, () => memory.open(() => {}, 0));
  let largest = 0;
  let servedSmall = 0;
  for (let now = 0; now < 5_000; now += tickMilliseconds) {
    // Each brings up to 6 MiB a second, without an end.
    for (const body of crowd) {
      for (let chunk = 0; chunk < 10; chunk += 1) body.take(chunkBytes, now);
      largest = Math.max(largest, memory.heldBytes());
    }
    const small = memory.open(failIfGivingWay, now);
    servedSmall += Number(small.take(800, now));
    small.complete();
    small.release();
  }
  t.true(largest <= memory.maximumBytes, `${largest} bytes`);
  t.is(servedSmall, 50, 'each small body finds room');
  crowd.forEach((body) => body.release());
  t.is(memory.heldBytes(), 0);
});

test('a body that arrives takes the memory of those that have stopped, the slowest first', (t) => {
  const memory = createBodyMemory(10 * mebibyte);
  const gaveWay: number[] = [];
  const stopped = [0, 100, 200, 300].map((now, index) => {
    const body = memory.open(() => gaveWay.push(index), now);
    t.true(body.take(2 * mebibyte, now));
    return body;
  });
  const early = memory.open(failIfGivingWay, 900);
  t.false(early.take(mebibyte, 900), 'none of them is slow yet');
  early.release();
  const body = memory.open(failIfGivingWay, 1_350);
  t.true(body.take(3 * mebibyte, 1_350));
  t.deepEqual(gaveWay, [0, 1]);
  t.false(stopped[0]!.take(1, 1_400), 'a body that gave way takes nothing more');
  t.is(memory.heldBytes(), 7 * mebibyte);
});

test('a body that trickles gives way, one at pace does not', (t) => {
  const memory = createBodyMemory(10 * mebibyte);
  const gaveWay: string[] = [];
  const trickling = memory.open(() => gaveWay.push('trickling'), 0);
  const atPace = memory.open(() => gaveWay.push('at pace'), 0);
  t.true(trickling.take(4 * mebibyte, 0));
  t.true(atPace.take(3 * mebibyte, 0));
  for (let now = tickMilliseconds; now <= 2_000; now += tickMilliseconds) {
    t.true(trickling.take(1, now));
    t.true(atPace.take(smallBodyBytes / 8, now));
  }
  const other = memory.open(failIfGivingWay, 2_000);
  t.true(other.take(2 * mebibyte, 2_000));
  t.deepEqual(gaveWay, ['trickling']);
});

test('bodies of requests that run keep their memory', (t) => {
  const memory = createBodyMemory(10 * mebibyte);
  const whole = memory.open(failIfGivingWay, 0);
  t.true(whole.take(7 * mebibyte, 0));
  whole.complete();
  const other = memory.open(failIfGivingWay, 60_000);
  t.false(other.take(2 * mebibyte, 60_000));
  whole.release();
  t.true(other.take(2 * mebibyte, 60_000));
});

test('no body gives way if that does not make enough room', (t) => {
  const memory = createBodyMemory(10 * mebibyte);
  const whole = memory.open(failIfGivingWay, 0);
  t.true(whole.take(6 * mebibyte, 0));
  whole.complete();
  const stopped = memory.open(failIfGivingWay, 0);
  t.true(stopped.take(mebibyte, 0));
  t.false(memory.open(failIfGivingWay, 5_000).take(4 * mebibyte, 5_000));
});
