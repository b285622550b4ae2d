import test from 'ava';
import { evaluateTestRun } from '../evaluateTestRun.js';

const completeRun = ['ok 1 - first', 'ok 2 - second', '', '1..2'];

test('a complete run without failures passes', (t) => {
  t.deepEqual(evaluateTestRun(completeRun, ['# page']), { passed: 2, expected: [], faults: [] });
});

test('an incomplete run fails, even if none of its tests failed', (t) => {
  t.is(evaluateTestRun(['ok 1 - first'], []).faults.length, 1);
  t.is(evaluateTestRun(['ok 1 - first', '1..2'], []).faults.length, 1);
});

test('an unlisted failed test and a listed test that passes fail the run', (t) => {
  const lines = ['not ok 1 - first', 'ok 2 - second', '1..2'];
  t.deepEqual(evaluateTestRun(lines, []).faults, ['failed: first']);
  t.deepEqual(evaluateTestRun(lines, ['first | command | seen | 1']).faults, []);
  t.is(evaluateTestRun(completeRun, ['first | command | seen | 1']).faults.length, 1);
});

test('a skipped test fails the run', (t) => {
  t.is(evaluateTestRun(['ok 1 - first # SKIP', '1..1'], []).faults.length, 1);
});
