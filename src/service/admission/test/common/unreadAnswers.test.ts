/**
 * The bound of the memory for answers that callers leave unread.
 */
import test from 'ava';
import { createUnreadAnswers } from '../../common/unreadAnswers.js';

test('the answers that have waited longest are given up, until the rest is within the limit', (t) => {
  const answers = createUnreadAnswers(100);
  const givenUp: number[] = [];
  const rows = [60, 30, 10, 50].map((bytes) => answers.add(bytes, () => givenUp.push(bytes)));
  t.deepEqual(givenUp, [60]);
  t.is(answers.heldBytes(), 150);
  rows[0]!.release();
  t.is(answers.heldBytes(), 90);
  t.true(answers.giveUpOldest());
  t.deepEqual(givenUp, [60, 30]);
});

test('a single answer beyond the limit is kept', (t) => {
  const answers = createUnreadAnswers(100);
  const givenUp: number[] = [];
  const { release } = answers.add(500, () => givenUp.push(500));
  t.deepEqual(givenUp, []);
  release();
  release();
  t.is(answers.heldBytes(), 0);
});

test('an answer that was read is not given up', (t) => {
  const answers = createUnreadAnswers(100);
  answers.add(80, () => t.fail()).release();
  answers.add(90, () => t.fail());
  t.is(answers.heldBytes(), 90);
});
