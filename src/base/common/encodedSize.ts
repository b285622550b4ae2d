/**
 * Upper bound of the size of a value in CBOR, computed without encoding it. Systems use it to bound
 * messages, because the encoding itself is done by ports.
 */

/** Bytes of the longest head of a number, text, list or map; a byte string also has a tag. */
const headBytes = 9;
const tagBytes = 2;
const simpleValueBytes = 1;

const maximumOneByteUnit = 0x7f;
const maximumTwoByteUnit = 0x7ff;

/** Bytes of a text in UTF-8; a surrogate counts as three bytes, of the four that a pair has. */
const computeTextBytes = (text: string): number => {
  let bytes = 0;
  for (let position = 0; position < text.length; position += 1) {
    const unit = text.charCodeAt(position);
    if (unit <= maximumOneByteUnit) bytes += 1;
    else bytes += unit <= maximumTwoByteUnit ? 2 : 3;
  }
  return bytes;
};

const computeObjectBytes = (value: object): number => {
  if (value instanceof Uint8Array) return tagBytes + headBytes + value.byteLength;
  if (Array.isArray(value)) {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
    return value.reduce<number>((sum, member) => sum + computeEncodedBytes(member), headBytes);
  }
  return Object.entries(value).reduce(
    (sum, [name, member]) =>
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
      sum + headBytes + computeTextBytes(name) + computeEncodedBytes(member),
    headBytes,
  );
};

type ValueType = 'string' | 'number' | 'object';

const bytesByType: Readonly<Record<ValueType, (value: never) => number>> = {
  string: (value: string) => headBytes + computeTextBytes(value),
  number: () => headBytes,
  object: (value: object | null) => (value === null ? simpleValueBytes : computeObjectBytes(value)),
};

/** Returns an upper bound, in bytes, of the encoded size of plain data without cycles. */
export const computeEncodedBytes = (value: unknown): number =>
  bytesByType[typeof value as ValueType]?.(value as never) ?? simpleValueBytes;
