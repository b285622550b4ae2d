/** The computed size of a value is an upper bound of its encoded size, and close to it for texts. */
import test from 'ava';
import { encode } from 'cbor-x';
import fc from 'fast-check';
import { computeEncodedBytes } from '../../common/encodedSize.js';

const seed = 11;
const textLength = 100_000;

test('no plain value takes more bytes than computed', (t) => {
  const values = fc.anything({
    withDate: false,
    withBigInt: false,
    withSparseArray: false,
    withNullPrototype: false,
    withUnicodeString: true,
  });
  fc.assert(
    fc.property(values, (value) => {
      t.true(encode(value).length <= computeEncodedBytes(value));
    }),
    { seed, numRuns: 1_000 },
  );
});

['x', 'é', '漢', '😀'].forEach((letter) =>
  test(`a long text of "${letter}" is measured within half of its size`, (t) => {
    const text = letter.repeat(textLength);
    const { length } = encode(text);
    t.true(computeEncodedBytes(text) >= length);
    t.true(computeEncodedBytes(text) <= 1.5 * length + 16);
  }),
);

test('bytes are measured by their length', (t) => {
  const bytes = new Uint8Array(textLength);
  t.true(computeEncodedBytes(bytes) >= encode(bytes).length);
  t.true(computeEncodedBytes(bytes) <= textLength + 16);
});
