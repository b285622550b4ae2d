import test from 'ava';
import { createRandom, createRandomOf, type Random } from '../../common/random.js';

const bound = 700;
const draws = 8;
const pairs = 400;
/** Two draws that lie so near to each other count as one: the time of one round of votes. */
const nearness = 40;
/** Of independent draws a ninth lies so near; twice that is more than chance gives over so many pairs. */
const highestShare = 0.22;

const drawAll = ({ below }: Random): number[] => Array.from({ length: draws }, () => below(bound));

const shareOfNear = (first: readonly (readonly number[])[], second: typeof first): number => {
  const near = first.flatMap((row, pair) =>
    row.map((value, draw) => Math.abs(value - second[pair]![draw]!) < nearness),
  );
  return near.filter((isNear) => isNear).length / near.length;
};

const rowsOf = (create: (index: number) => Random): number[][] =>
  Array.from({ length: pairs }, (_, index) => drawAll(create(index)));

test('generators with near seeds draw unlike numbers', (t) => {
  const seed = 1_770_645_362;
  const first = rowsOf((index) => createRandom(seed + index));
  const second = rowsOf((index) => createRandom(seed + index + 1));
  t.true(shareOfNear(first, second) < highestShare);
});

test('daemons that start in the same millisecond draw unlike numbers', (t) => {
  const start = 1_770_645_362_565;
  const first = rowsOf((index) => createRandomOf('10.1.0.45', start + index));
  const second = rowsOf((index) => createRandomOf('10.2.0.9', start + index));
  t.true(shareOfNear(first, second) < highestShare);
});

test('the same daemon and start give the same numbers', (t) => {
  t.deepEqual(drawAll(createRandomOf('10.1.0.45', 7)), drawAll(createRandomOf('10.1.0.45', 7)));
});
