/**
 * Seeded random numbers. Decisions take a generator as an argument, so that a run with the same
 * seed and the same inputs produces the same tables.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { hashText, mixBits } from './hash.js';

/** A generator of random integers. */
export interface Random {
  /** Returns an integer from 0 (inclusive) to `bound` (exclusive). */
  readonly nextInteger: (bound: number) => number;
}

/**
 * Creates a generator from a 32-bit seed. The first outputs of xoroshiro128+ correlate with its
 * seed, so the seed is mixed first; similar seeds then produce unrelated numbers.
 */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(mixBits(seed));
  return { nextInteger: (bound) => uniformInt(generator, 0, bound - 1) };
};

/**
 * Creates the generator of a daemon from its name and incarnation. Daemons that start in the same
 * millisecond get different numbers, because elections need candidates that do not request votes
 * simultaneously.
 */
export const createDaemonRandom = (name: string, incarnation: number): Random =>
  createRandom(hashText(`${name}/${incarnation}`));

/** Selects an element of a list with equal probability; undefined if the list is empty. */
export const selectRandomElement = <Value>(
  random: Random,
  values: readonly Value[],
): Value | undefined =>
  values.length === 0 ? undefined : values[random.nextInteger(values.length)];
