import test from 'ava';
import { judgeRun } from '../evaluateTestRun.js';

const whole = ['ok 1 - first', 'ok 2 - second', '', '1..2'];

test('a whole green run passes', (t) => {
  t.deepEqual(judgeRun(whole, ['# page']), { passed: 2, expected: [], faults: [] });
});

test('a run that broke off fails, although no test in it is red', (t) => {
  t.is(judgeRun(['ok 1 - first'], []).faults.length, 1);
  t.is(judgeRun(['ok 1 - first', '1..2'], []).faults.length, 1);
});

test('a red test fails the run unless it is listed, and a listed one that is green fails it', (t) => {
  const lines = ['not ok 1 - first', 'ok 2 - second', '1..2'];
  t.deepEqual(judgeRun(lines, []).faults, ['failed: first']);
  t.deepEqual(judgeRun(lines, ['first | command | seen | 1']).faults, []);
  t.is(judgeRun(whole, ['first | command | seen | 1']).faults.length, 1);
});

test('a skipped test fails the run', (t) => {
  t.is(judgeRun(['ok 1 - first # SKIP', '1..1'], []).faults.length, 1);
});
