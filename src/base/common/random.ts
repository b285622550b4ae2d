/**
 * Seeded randomness: decisions take a generator as an argument, so that the same seed and the same
 * inputs give the same tables.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { hashText, mixBits } from './hash.js';

/** A generator of random whole numbers. */
export interface Random {
  /** A whole number from 0 up to but not including `bound`. */
  readonly nextInteger: (bound: number) => number;
}

/**
 * Creates a generator from a seed of 32 bits. The first numbers of xoroshiro128+ follow its seed, so the
 * seed is mixed: near seeds give unlike numbers.
 */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(mixBits(seed));
  return { nextInteger: (bound) => uniformInt(generator, 0, bound - 1) };
};

/**
 * Creates the generator of one start of one daemon. Daemons that start in the same millisecond draw
 * different numbers, as elections rest on their not asking for votes at the same time.
 */
export const createDaemonRandom = (name: string, incarnation: number): Random =>
  createRandom(hashText(`${name}/${incarnation}`));

/** One element of a list that is not empty. */
export const selectRandomElement = <Value>(
  random: Random,
  values: readonly Value[],
): Value | undefined =>
  values.length === 0 ? undefined : values[random.nextInteger(values.length)];
