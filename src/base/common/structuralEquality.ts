/**
 * Comparison of plain data: values as they are before encoding and after decoding. A property whose
 * value is undefined differs from one that is absent; bytes are equal whatever their class, and so are
 * 0 and -0, which the encoding does not distinguish.
 */

const isObject = (value: unknown): value is object => typeof value === 'object' && value !== null;

const areBytesEqual = (first: Uint8Array, second: Uint8Array): boolean =>
  first.length === second.length && first.every((byte, position) => byte === second[position]);

const areObjectsEqual = (first: object, second: object): boolean => {
  if (first instanceof Uint8Array || second instanceof Uint8Array) {
    const areBothBytes = first instanceof Uint8Array && second instanceof Uint8Array;
    return areBothBytes && areBytesEqual(first, second);
  }
  if (Array.isArray(first) !== Array.isArray(second)) return false;
  const names = Object.keys(first);
  return (
    names.length === Object.keys(second).length &&
    names.every(
      (name) =>
        Object.hasOwn(second, name) &&
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        isStructurallyEqual(first[name as never], second[name as never]),
    )
  );
};

/** Whether two values of plain data without cycles are equal. */
export const isStructurallyEqual = (first: unknown, second: unknown): boolean =>
  isObject(first) && isObject(second)
    ? first === second || areObjectsEqual(first, second)
    : first === second || Object.is(first, second);
