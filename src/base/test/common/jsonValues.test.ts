/**
 * The count of the values of a JSON text.
 */
import test from 'ava';
import { hasMoreValuesThan } from '../../common/jsonValues.js';

const countedAs = (text: string): number => {
  const bytes = Buffer.from(text);
  let maximum = 0;
  while (hasMoreValuesThan(bytes, maximum)) maximum += 1;
  return maximum;
};

test('values and names are counted', (t) => {
  t.is(countedAs('[[0],[0],[0]]'), 7);
  t.is(countedAs('{"first": 1, "second": {}}'), 6);
});

test('a text in a string is no value', (t) => {
  t.is(countedAs('["a,b,c:[{", "\\",\\\\", 1]'), 4);
  t.is(countedAs(`"${','.repeat(1_000)}"`), 1);
});

test('a string without an end ends with the text', (t) => {
  t.is(countedAs('["abc, def'), 2);
  t.is(countedAs('["abc\\"'), 2);
});
