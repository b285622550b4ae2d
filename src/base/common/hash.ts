/**
 * Hashes of 32 bits that are the same in every process. They spread keys; they keep nothing secret.
 */

/* eslint-disable no-bitwise -- the hashes are defined by bit operations */

/** Prime and offset of FNV-1a over 32 bits. */
const fnvPrime = 16_777_619;
const fnvOffset = 2_166_136_261;

/** FNV-1a: the same number for a text in every process. */
export const hashText = (text: string): number =>
  [...text].reduce(
    (hash, character) => Math.imul(hash ^ character.charCodeAt(0), fnvPrime) >>> 0,
    fnvOffset,
  );

/** Multipliers of the finalizer of MurmurHash3 over 32 bits. */
const firstMultiplier = 0x85ebca6b;
const secondMultiplier = 0xc2b2ae35;

/** Mixes a number, so that numbers which differ in one bit differ in about half of the bits. */
export const mixBits = (value: number): number => {
  const first = Math.imul(value ^ (value >>> 16), firstMultiplier);
  const second = Math.imul(first ^ (first >>> 13), secondMultiplier);
  return (second ^ (second >>> 16)) >>> 0;
};
