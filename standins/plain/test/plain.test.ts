/** The plain service stand-in: echo, run counts by request id, and faults. */
import test from 'ava';
import { request } from 'undici';
import { FaultKind } from '../../faults/faults.js';
import { requestIdHeader, startPlain } from '../plain.js';

const call = (address: string, requestId: string, path = '/echo?a=1') =>
  request(`${address}${path}`, {
    method: 'PUT',
    headers: { [requestIdHeader]: requestId },
    body: 'body',
  });

test('a call is echoed, and each run of its request id is counted', async (t) => {
  const plain = await startPlain();
  t.teardown(plain.dispose);
  const answer = await call(plain.address, 'one');
  const echo = (await answer.body.json()) as Record<string, unknown>;
  t.is(echo.method, 'PUT');
  t.is(echo.path, '/echo?a=1');
  t.is(echo.body, 'body');
  await (await call(plain.address, 'one')).body.dump();
  t.is(plain.runsOf('one'), 2);
  t.is(plain.runsOf('other'), 0);
});

test('a call whose connection was cut counts as run, and a refused call does not', async (t) => {
  const faults = [
    { fault: { kind: FaultKind.CrashBeforeFirstByte }, matching: '/crash' },
    { fault: { kind: FaultKind.RefuseNotRun }, matching: '/refuse' },
  ];
  const plain = await startPlain({ faults });
  t.teardown(plain.dispose);
  await t.throwsAsync(call(plain.address, 'crashed', '/crash'));
  const refusal = await call(plain.address, 'refused', '/refuse');
  await refusal.body.dump();
  t.is(refusal.statusCode, 503);
  t.is(plain.runsOf('crashed'), 1);
  t.is(plain.runsOf('refused'), 0);
  t.is(plain.counters().received, 2);
  t.is(plain.counters().ran, 1);
});

test('a late answer is sent to its own call', async (t) => {
  const faults = [{ fault: { kind: FaultKind.AnswerLate, milliseconds: 10 }, matching: '/late' }];
  const plain = await startPlain({ faults });
  t.teardown(plain.dispose);
  const answers = await Promise.all([
    call(plain.address, 'late', '/late'),
    call(plain.address, 'soon', '/soon'),
  ]);
  const echoes = await Promise.all(answers.map((answer) => answer.body.json()));
  const paths = echoes.map((echo) => (echo as { path: string }).path);
  t.deepEqual(paths, ['/late', '/soon']);
});
