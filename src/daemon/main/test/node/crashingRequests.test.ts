/**
 * Requests under which upstreams end, and requests whose answers live upstreams spoil, as callers of
 * a daemon see them over real sockets.
 */
import test, { type ExecutionContext } from 'ava';
import {
  CrashingBehavior,
  startCrashingServer,
} from '../../../../../standins/crashing/crashingServer.js';
import { UpstreamKind } from '../../../../service/protocol/common/upstreamProtocol.js';
import {
  announceUpstream,
  openTestDaemon,
  readError,
  sendRequest,
  waitForUpstreams,
} from './testDaemon.js';

const maximumAnswerBytes = 64 * 1_024;
const upstreamCount = 4;
const tries = 6;
const quarantineThreshold = 2;
const poisonBody = 'poison';
/** Longer than the tests: an upstream that ended is not back. */
const returnMilliseconds = 60_000;

const openInstallation = async (t: ExecutionContext, behavior: CrashingBehavior) => {
  const daemon = await openTestDaemon({ maximumAnswerBytes });
  t.teardown(daemon.dispose);
  const servers = await Promise.all(
    Array.from({ length: upstreamCount }, (_, index) =>
      startCrashingServer({
        behavior,
        poisonBody,
        returnMilliseconds,
        oversizedBytes: 2 * maximumAnswerBytes,
        createIdentity: () => ({}),
        onDidStart: (address, incarnation) =>
          announceUpstream(daemon, `u${index}`, address, UpstreamKind.Plain, incarnation),
      }),
    ),
  );
  servers.forEach((server) => t.teardown(server.dispose));
  await waitForUpstreams(daemon, upstreamCount);
  /** Sends the poisonous request; undefined if the answer breaks off. */
  const sendPoison = () =>
    sendRequest(daemon, '/depot/item', poisonBody, { key: 'key-one' }).catch(() => undefined);
  const countRuns = (): number => servers.reduce((sum, server) => sum + server.poisonRuns(), 0);
  return { daemon, sendPoison, countRuns };
};

[CrashingBehavior.CutAnswer, CrashingBehavior.OversizedAnswer].forEach((behavior) =>
  test(`a request that live upstreams answer with ${behavior} runs each time`, async (t) => {
    const { sendPoison, countRuns } = await openInstallation(t, behavior);
    for (let count = 0; count < tries; count += 1) await sendPoison();
    t.is(countRuns(), tries);
  }),
);

test('a request under which two upstreams ended is refused, and others are answered', async (t) => {
  const { daemon, sendPoison, countRuns } = await openInstallation(t, CrashingBehavior.End);
  const waitForRecord = async (ends: number): Promise<void> => {
    while ([...daemon.world.crashRecords.rows()].every((row) => row.ends.length < ends)) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  };
  for (let ends = 1; ends <= quarantineThreshold; ends += 1) {
    await sendPoison();
    await waitForRecord(ends);
  }
  const refused = await sendPoison();
  t.is(refused?.status, 422);
  t.true(readError(refused!).not_run);
  t.is(countRuns(), quarantineThreshold);
  const harmless = await sendRequest(daemon, '/depot/item', 'harmless', { key: 'key-one' });
  t.is(harmless.status, 200);
});
