/** The usage stand-in: one set of figures per window, fencing and lost answers. */
import test from 'ava';
import { request } from 'undici';
import {
  usageReportsPath,
  type UsageReport,
} from '../../../src/service/protocol/common/platformProtocol.js';
import { FaultKind } from '../../faults/faults.js';
import { startUsage } from '../usage.js';

const report: UsageReport = {
  window: 'w1',
  workspace: 'yard',
  promptTokens: 10,
  completionTokens: 20,
  requests: 3,
  adjustments: [],
  fencing: 5,
};

const send = async (address: string, changed: Partial<UsageReport> = {}) => {
  const answer = await request(`${address}${usageReportsPath}`, {
    method: 'POST',
    body: JSON.stringify({ ...report, ...changed }),
  });
  await answer.body.dump();
  return answer.statusCode;
};

test('a window is accepted once; only a repeat with equal figures succeeds', async (t) => {
  const usage = await startUsage();
  t.teardown(usage.dispose);
  t.is(await send(usage.address), 200);
  t.is(await send(usage.address, { fencing: 6 }), 200);
  t.is(await send(usage.address, { fencing: 6, requests: 4 }), 409);
  t.is(await send(usage.address, { fencing: 6, workspace: 'other', requests: 4 }), 200);
  t.deepEqual(usage.counters(), {
    accepted: 2,
    repeated: 1,
    differentFigures: 1,
    olderFencing: 0,
  });
  t.is(usage.accepted()[0]?.requests, 3);
});

test('a report with different adjustments is refused', async (t) => {
  const usage = await startUsage();
  t.teardown(usage.dispose);
  await send(usage.address);
  const adjustments = [{ window: 'w0', promptTokens: 1, completionTokens: 1, requests: 1 }];
  t.is(await send(usage.address, { adjustments }), 409);
});

test('an older fencing token is refused, even with equal figures', async (t) => {
  const usage = await startUsage();
  t.teardown(usage.dispose);
  await send(usage.address);
  t.is(await send(usage.address, { fencing: 4 }), 409);
  t.is(usage.counters().olderFencing, 1);
});

test('a report whose answer is lost is accepted and can be resent', async (t) => {
  const usage = await startUsage({ faults: [{ fault: { kind: FaultKind.LoseOrderAnswer } }] });
  t.teardown(usage.dispose);
  await t.throwsAsync(send(usage.address));
  t.is(await send(usage.address), 200);
  t.is(usage.counters().repeated, 1);
  t.is(usage.received().length, 2);
});
