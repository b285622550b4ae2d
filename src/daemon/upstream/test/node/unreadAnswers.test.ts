import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { noopMetrics } from '../../../../infrastructure/metrics/common/metrics.js';
import type { AttemptId } from '../../../../service/world/common/identifiers.js';
import { encodeAnswer, Framing } from '../../../../../standins/hostile/rawAnswers.js';
import { startRawServer } from '../../../../../standins/hostile/rawServer.js';
import { createUpstreamConnections } from '../../node/upstreamConnections.js';

/** Sizes around those at which the client stops reading until its answer is read. */
const sizes = [60, 66, 80, 100, 128, 140, 200, 300].map((size) => size * 1_000);

/** Time in which an answer and the end of its connection arrive. */
const arrivalMilliseconds = 50;

Object.values(Framing).forEach((framing) =>
  sizes.forEach((size) =>
    test(`an answer (${framing}, ${size} bytes) that is read after its connection has ended is whole`, async (t) => {
      const body = 'x'.repeat(size);
      const server = await startRawServer((_request, socket) => {
        const headers = { connection: 'close' };
        socket.end(encodeAnswer({ status: 200, headers, body, framing }));
      });
      const connections = createUpstreamConnections(noopMetrics);
      t.teardown(async () => {
        await connections.dispose();
        await server.dispose();
      });
      const attempt = asBrand<AttemptId>('a1');
      const options = { method: 'GET', path: '/' } as const;
      const response = await connections.send(`http://${server.address}`, attempt, options);
      await delay(arrivalMilliseconds);
      t.is((await response!.body.text()).length, size);
    }),
  ),
);

test('an answer without length whose connection is reset while it is not read is not whole', async (t) => {
  const server = await startRawServer((_request, socket) => {
    const body = 'x'.repeat(80_000);
    socket.write(encodeAnswer({ status: 200, headers: {}, body, framing: Framing.Connection }));
    setTimeout(() => socket.resetAndDestroy(), arrivalMilliseconds);
  });
  const connections = createUpstreamConnections(noopMetrics);
  t.teardown(async () => {
    await connections.dispose();
    await server.dispose();
  });
  const options = { method: 'GET', path: '/' } as const;
  const attempt = asBrand<AttemptId>('a1');
  const response = await connections.send(`http://${server.address}`, attempt, options);
  await delay(2 * arrivalMilliseconds);
  await t.throwsAsync(response!.body.text());
});
