/**
 * The keyed heap returns the lowest key, applies priority changes, and bounds its obsolete entries.
 */
import test from 'ava';
import { createKeyedHeap } from '../../common/keyedHeap.js';

test('a changed key has its new priority and a removed key is not returned', (t) => {
  const heap = createKeyedHeap();
  heap.set('a', 1);
  heap.set('b', 2);
  heap.set('c', 3);
  heap.set('a', 4);
  heap.remove('b');
  t.is(heap.first(), 'c');
  heap.remove('c');
  t.is(heap.first(), 'a');
  t.is(heap.lowestPriority(), 4);
});

test('obsolete entries behind the first are discarded when they outnumber the keys', (t) => {
  const heap = createKeyedHeap();
  heap.set('lowest', 0);
  Array.from({ length: 10_000 }, (_, index) => `key-${index}`).forEach((key, index) => {
    heap.set(key, index + 1);
    heap.remove(key);
  });
  t.is(heap.first(), 'lowest');
  t.true(heap.entryCount() <= 2 * heap.size() + 32);
});
