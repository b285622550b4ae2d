/**
 * Counts the values of a JSON text without parsing it. A parsed value costs many times its bytes, so a
 * text within a limit of bytes may need more memory than the process has.
 */

const quote = 0x22;
const backslash = 0x5c;

/** Bytes that begin a further value outside of strings: `[`, `{`, `,` and `:`. */
const valueBytes: ReadonlySet<number> = new Set([0x5b, 0x7b, 0x2c, 0x3a]);

/** Whether a quote is escaped, that is behind an odd number of backslashes. */
const isEscaped = (text: Uint8Array, position: number): boolean => {
  let first = position;
  while (text[first - 1] === backslash) first -= 1;
  return (position - first) % 2 === 1;
};

/** Returns the position of the quote that ends the string which begins before `start`. */
const findEndOfString = (text: Uint8Array, start: number): number => {
  let end = text.indexOf(quote, start);
  while (end >= 0 && isEscaped(text, end)) end = text.indexOf(quote, end + 1);
  return end < 0 ? text.length : end;
};

/** Whether a JSON text in UTF-8 has more than `maximum` values, where each name counts as one. */
export const hasMoreValuesThan = (text: Uint8Array, maximum: number): boolean => {
  if (text.length <= maximum) return false;
  let values = 1;
  for (let position = 0; position < text.length && values <= maximum; position += 1) {
    const byte = text[position]!;
    if (byte === quote) position = findEndOfString(text, position + 1);
    else if (valueBytes.has(byte)) values += 1;
  }
  return values > maximum;
};
