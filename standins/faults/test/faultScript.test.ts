/**
 * Fault scripts: each entry applies to its scope, from its first request on, a limited number of
 * times.
 */
import test from 'ava';
import { createFaultScript, FaultScope } from '../faultScript.js';
import { FaultKind, defaultFaultPlan, planOf } from '../faults.js';

test('an entry applies from its first request on and only the given number of times', (t) => {
  const fault = { kind: FaultKind.NeverAnswer };
  const script = createFaultScript([{ fault, fromRequest: 2, times: 2 }]);
  const appliedFaults = [1, 2, 3, 4].map((number) =>
    script.takeFault(FaultScope.Request, number, 'text'),
  );
  t.deepEqual(appliedFaults, [undefined, fault, fault, undefined]);
});

test('an entry applies only if the text matches, and once by default', (t) => {
  const fault = { kind: FaultKind.RefuseNotRun };
  const script = createFaultScript([{ fault, matching: 'poison' }]);
  t.is(script.takeFault(FaultScope.Request, 1, 'wholesome'), undefined);
  t.is(script.takeFault(FaultScope.Request, 2, 'a poison pill'), fault);
  t.is(script.takeFault(FaultScope.Request, 3, 'a poison pill'), undefined);
});

test('faults of orders do not apply to requests', (t) => {
  const fault = { kind: FaultKind.LoseOrderAnswer };
  const script = createFaultScript([{ fault }]);
  t.is(script.takeFault(FaultScope.Request, 1, 'text'), undefined);
  t.is(script.takeFault(FaultScope.Order, 1, 'order'), fault);
});

test('a fault changes only its own fields of the plan', (t) => {
  t.deepEqual(planOf(undefined), defaultFaultPlan);
  t.deepEqual(planOf({ kind: FaultKind.CrashAfterTokens, tokens: 3 }), {
    ...defaultFaultPlan,
    cutAfterTokens: 3,
  });
});
