/**
 * The text of the model engine stand-in: a fixed function of the prompt and the token position, so that
 * a stream that is resumed from an offset continues the same text.
 */

const words = ['bay', 'crane', 'yard', 'roll', 'stack', 'lane', 'ship', 'pile', 'berth', 'gate'];
const minimumTokenCount = 8;
const tokenCountSpread = 24;

const hashOffset = 0x811c9dc5;
const hashPrime = 0x01000193;

/** 32-bit FNV-1a hash of the UTF-16 units of a text. */
const hashText = (text: string): number => {
  let hash = hashOffset;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise -- the hash is defined on bits
    hash = Math.imul(hash ^ text.charCodeAt(index), hashPrime) >>> 0;
  }
  return hash;
};

/** The text of the token at a position, counted from 0; each ends in a space. */
export const tokenAt = (prompt: string, position: number): string => {
  const hash = hashText(`${prompt}#${position}`);
  return `${words[hash % words.length]}${position} `;
};

/** How many tokens the whole answer to a prompt has where the caller sets no limit. */
export const tokenCountOf = (prompt: string): number =>
  minimumTokenCount + (hashText(prompt) % tokenCountSpread);

/** How many tokens the prompt itself is counted as. */
export const promptTokensOf = (prompt: string): number =>
  prompt.split(/\s+/).filter((word) => word.length > 0).length;

/** The text of the tokens from `from` up to but not including `to`. */
export const textBetween = (prompt: string, from: number, to: number): string =>
  Array.from({ length: Math.max(0, to - from) }, (_, index) => tokenAt(prompt, from + index)).join(
    '',
  );
