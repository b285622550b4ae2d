import test from 'ava';
import { createRandom, createDaemonRandom, type Random } from '../../common/random.js';

const bound = 700;
const numbersPerGenerator = 8;
const generatorPairs = 400;
/**
 * Two numbers closer than this would collide in an election: the duration of one round of votes.
 */
const nearDistance = 40;
/**
 * One ninth of independent numbers are this close; with this many pairs the share stays below twice
 * that.
 */
const maximumNearShare = 0.22;

const generateNumbers = ({ nextInteger }: Random): number[] =>
  Array.from({ length: numbersPerGenerator }, () => nextInteger(bound));

const computeNearShare = (first: readonly (readonly number[])[], second: typeof first): number => {
  const nearFlags = first.flatMap((row, pair) =>
    row.map((value, position) => Math.abs(value - second[pair]![position]!) < nearDistance),
  );
  return nearFlags.filter((isNear) => isNear).length / nearFlags.length;
};

const createSequences = (create: (index: number) => Random): number[][] =>
  Array.from({ length: generatorPairs }, (_, index) => generateNumbers(create(index)));

test('generators with consecutive seeds produce unrelated numbers', (t) => {
  const seed = 1_770_645_362;
  const first = createSequences((index) => createRandom(seed + index));
  const second = createSequences((index) => createRandom(seed + index + 1));
  t.true(computeNearShare(first, second) < maximumNearShare);
});

test('daemons that start in the same millisecond get unrelated numbers', (t) => {
  const start = 1_770_645_362_565;
  const first = createSequences((index) => createDaemonRandom('10.1.0.45', start + index));
  const second = createSequences((index) => createDaemonRandom('10.2.0.9', start + index));
  t.true(computeNearShare(first, second) < maximumNearShare);
});

test('the same daemon name and incarnation produce the same numbers', (t) => {
  t.deepEqual(
    generateNumbers(createDaemonRandom('10.1.0.45', 7)),
    generateNumbers(createDaemonRandom('10.1.0.45', 7)),
  );
});
