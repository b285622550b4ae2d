import test from 'ava';
import { evaluateTestRun } from '../evaluateTestRun.js';

const completeRun = ['ok 1 - first', 'ok 2 - second', '', '1..2'];

test('a whole green run passes', (t) => {
  t.deepEqual(evaluateTestRun(completeRun, ['# page']), { passed: 2, expected: [], faults: [] });
});

test('a run that broke off fails, although no test in it is red', (t) => {
  t.is(evaluateTestRun(['ok 1 - first'], []).faults.length, 1);
  t.is(evaluateTestRun(['ok 1 - first', '1..2'], []).faults.length, 1);
});

test('a red test fails the run unless it is listed, and a listed one that is green fails it', (t) => {
  const lines = ['not ok 1 - first', 'ok 2 - second', '1..2'];
  t.deepEqual(evaluateTestRun(lines, []).faults, ['failed: first']);
  t.deepEqual(evaluateTestRun(lines, ['first | command | seen | 1']).faults, []);
  t.is(evaluateTestRun(completeRun, ['first | command | seen | 1']).faults.length, 1);
});

test('a skipped test fails the run', (t) => {
  t.is(evaluateTestRun(['ok 1 - first # SKIP', '1..1'], []).faults.length, 1);
});
