/**
 * The generated text of the model engine stand-in. It is a pure function of the prompt and the
 * token position, so that a stream resumed from an offset continues the same text.
 */

const words = ['bay', 'crane', 'yard', 'roll', 'stack', 'lane', 'ship', 'pile', 'berth', 'gate'];
const minimumTokenCount = 8;
const tokenCountSpread = 24;

const hashOffset = 0x811c9dc5;
const hashPrime = 0x01000193;

/** 32-bit FNV-1a hash of the UTF-16 code units of a text. */
const hashText = (text: string): number => {
  let hash = hashOffset;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise -- the hash is defined on bits
    hash = Math.imul(hash ^ text.charCodeAt(index), hashPrime) >>> 0;
  }
  return hash;
};

/** The text of the token at a zero-based position; it ends with a space. */
export const tokenAt = (prompt: string, position: number): string => {
  const hash = hashText(`${prompt}#${position}`);
  return `${words[hash % words.length]}${position} `;
};

/** The number of tokens of the complete answer to a prompt if the caller sets no limit. */
export const tokenCountOf = (prompt: string): number =>
  minimumTokenCount + (hashText(prompt) % tokenCountSpread);

/** The number of tokens of the prompt: its whitespace-separated words. */
export const promptTokensOf = (prompt: string): number =>
  prompt.split(/\s+/).filter((word) => word.length > 0).length;

/** The text of the tokens from position `from` up to, but not including, `to`. */
export const textBetween = (prompt: string, from: number, to: number): string =>
  Array.from({ length: Math.max(0, to - from) }, (_, index) => tokenAt(prompt, from + index)).join(
    '',
  );
