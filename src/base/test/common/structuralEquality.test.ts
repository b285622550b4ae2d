/**
 * Equality of plain data agrees with the equality of its encoding.
 */
import test from 'ava';
import { decode, encode } from 'cbor-x';
import fc from 'fast-check';
import { isStructurallyEqual } from '../../common/structuralEquality.js';

const seed = 41;
const plainData = fc.jsonValue({ maxDepth: 3 });

test('data equals its decoded encoding', (t) => {
  const property = fc.property(plainData, (value) =>
    isStructurallyEqual(value, decode(encode(value))),
  );
  t.notThrows(() => fc.assert(property, { seed, numRuns: 300 }));
});

test('two values are equal only if they have the same content', (t) => {
  const sortNames = (_name: string, value: unknown): unknown =>
    typeof value === 'object' && value !== null && !Array.isArray(value)
      ? Object.fromEntries(
          Object.entries(value).sort(([first], [second]) => (first < second ? -1 : 1)),
        )
      : value;
  const describe = (value: unknown): string => JSON.stringify(value, sortNames);
  const property = fc.property(
    plainData,
    plainData,
    (first, second) =>
      isStructurallyEqual(first, second) === (describe(first) === describe(second)),
  );
  t.notThrows(() => fc.assert(property, { seed, numRuns: 300 }));
});

const different: readonly (readonly [unknown, unknown])[] = [
  [undefined, {}],
  [null, {}],
  [{ a: undefined }, {}],
  [{ a: undefined }, { b: undefined }],
  [[], {}],
  [[1], [1, 2]],
  [new Uint8Array([1]), [1]],
  [new Uint8Array([1]), new Uint8Array([2])],
  [{ a: [{ b: 1 }] }, { a: [{ b: 2 }] }],
];

different.forEach(([first, second], position) =>
  test(`different data ${position} is not equal`, (t) => {
    t.false(isStructurallyEqual(first, second));
    t.false(isStructurallyEqual(second, first));
  }),
);

test('bytes are equal whatever their class', (t) => {
  t.true(isStructurallyEqual({ a: Buffer.from([1, 2]) }, { a: new Uint8Array([1, 2]) }));
});
