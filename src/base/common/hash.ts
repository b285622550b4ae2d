/**
 * Deterministic 32-bit hashes that are the same in every process. They are not cryptographic.
 */

/* eslint-disable no-bitwise -- the hashes are defined by bit operations */

/** Prime and offset basis of 32-bit FNV-1a. */
const fnvPrime = 16_777_619;
const fnvOffset = 2_166_136_261;

/** Computes a 32-bit FNV-1a hash over the first UTF-16 code unit of each character of a text. */
export const hashText = (text: string): number =>
  [...text].reduce(
    (hash, character) => Math.imul(hash ^ character.charCodeAt(0), fnvPrime) >>> 0,
    fnvOffset,
  );

/** Multipliers of the finalizer of 32-bit MurmurHash3. */
const firstMultiplier = 0x85ebca6b;
const secondMultiplier = 0xc2b2ae35;

/**
 * Mixes the bits of a number: inputs that differ in one bit differ in about half of the output
 * bits.
 */
export const mixBits = (value: number): number => {
  const first = Math.imul(value ^ (value >>> 16), firstMultiplier);
  const second = Math.imul(first ^ (first >>> 13), secondMultiplier);
  return (second ^ (second >>> 16)) >>> 0;
};
