/** The weight store stand-in: complete downloads and cut connections. */
import test from 'ava';
import { request } from 'undici';
import { weightsPath } from '../../../src/service/protocol/common/platformProtocol.js';
import { FaultKind } from '../../faults/faults.js';
import { startWeightStore, weightBytes } from '../weightStore.js';

const size = 1000;

const download = async (address: string, version: string): Promise<Uint8Array> => {
  const answer = await request(`${address}${weightsPath}/planner/${version}`);
  return new Uint8Array(await answer.body.arrayBuffer());
};

test('concurrent downloads are each complete', async (t) => {
  const store = await startWeightStore({ size, chunkSize: 300 });
  t.teardown(store.dispose);
  const receivedBytes = await Promise.all(
    ['1', '22'].map((version) => download(store.address, version)),
  );
  t.deepEqual(receivedBytes, [weightBytes('1', 0, size), weightBytes('22', 0, size)]);
  t.is(store.counters().finished, 2);
  t.is(store.counters().bytesSent, 2 * size);
});

test('a download with a cut connection fails, and the next one is complete', async (t) => {
  const faults = [{ fault: { kind: FaultKind.CrashAfterTokens, tokens: 2 } }];
  const store = await startWeightStore({ size, chunkSize: 300, faults });
  t.teardown(store.dispose);
  await t.throwsAsync(download(store.address, '1'));
  t.is(store.downloads()[0]?.bytesSent, 600);
  t.is((await download(store.address, '1')).length, size);
});
