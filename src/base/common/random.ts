/**
 * Seeded randomness: decisions take a generator as an argument, so that the same seed and the same
 * inputs give the same tables.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A generator of random whole numbers. */
export interface Random {
  /** A whole number from 0 up to but not including `bound`. */
  readonly below: (bound: number) => number;
}

/** Creates a generator from a seed of 32 bits. */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed);
  return { below: (bound) => uniformInt(generator, 0, bound - 1) };
};

/** One element of a list that is not empty. */
export const pickOne = <Value>(random: Random, values: readonly Value[]): Value | undefined =>
  values.length === 0 ? undefined : values[random.below(values.length)];
