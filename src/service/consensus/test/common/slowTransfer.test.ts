/**
 * Guards against a snapshot that never arrives on a slow link, because parts that are under way count
 * as lost and are sent again, and delay the next ones until the transfer is abandoned.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { EventKind } from '../../../events/common/eventKind.js';
import { replicaOf } from '../../common/replicaLog.js';
import {
  absenceMilliseconds,
  followerOf,
  leaderOf,
  openSnapshotFixture,
  worldOf,
} from './snapshotFixture.js';

const jobCount = 20;
const bodyBytes = 200_000;

[4_000_000, 1_000_000, 800_000, 600_000, 500_000, 400_000].forEach((bandwidth) => {
  test.serial(`a snapshot of many parts arrives at ${bandwidth} bytes a second`, (t) => {
    let partBytes = 0;
    const fixture = openSnapshotFixture({
      seed: 13,
      bandwidth,
      onDidSend: (_installation, _from, { kind }) => {
        if (kind === 'snapshotSent') partBytes += bodyBytes;
      },
    });
    const { installation } = fixture;
    // The voters' links take a job in half of this time.
    const interval = (2 * bodyBytes * 1_000) / bandwidth;
    for (let job = 0; job < 2 * jobCount; job += 1) {
      const leader = leaderOf(fixture) ?? 'd1';
      const name = `job-${job % jobCount}`;
      worldOf(fixture, leader).proposals.append({
        id: asBrand(`submit-${job}`),
        command: {
          kind: 'jobSubmitted',
          job: name,
          workspace: null,
          host: 'h',
          path: '/p',
          model: 'm',
          step: 1,
          minimumVersion: 0,
          groupCount: 1,
          submittedAt: 1,
          homeRegions: [],
          holders: [],
          items: [
            {
              item: 'i',
              path: '/p',
              headers: {},
              body: new Uint8Array(bodyBytes),
              tokens: 1,
              expectedTokens: null,
              group: 'g',
              scorer: null,
            },
          ],
        },
        proposalDeadline: installation.now() + 5_000,
      });
      installation.wake(leader);
      installation.runFor(interval);
    }
    installation.runFor(10_000);
    const leader = leaderOf(fixture)!;
    t.log(
      `state: ${worldOf(fixture, leader).jobs.size()} jobs, compacted ${replicaOf(worldOf(fixture, leader)).compactedIndex}`,
    );
    t.true(replicaOf(worldOf(fixture, leader)).compactedIndex > 0);
    const store = followerOf(fixture);
    installation.stop(store);
    installation.disk(store).clear();
    installation.runFor(absenceMilliseconds);
    partBytes = 0;
    const first = installation.events().length;
    const start = installation.now();
    installation.start(store);
    // Three times what the link takes for the state and the entries that the leader keeps.
    const limit = 3 * ((3 * jobCount * bodyBytes * 1_000) / bandwidth) + 5_000;
    while (installation.now() < start + limit && !replicaOf(worldOf(fixture, store)).hasJoined)
      installation.runFor(50);
    const events = installation.events().slice(first);
    const abandoned = events.filter(({ kind }) => kind === EventKind.SnapshotAbandoned).length;
    const lostLeaders = events.filter(({ kind }) => kind === EventKind.LeadershipLost).length;
    t.log(
      `joined ${replicaOf(worldOf(fixture, store)).hasJoined} after ${installation.now() - start} of ${limit} ms; ` +
        `${abandoned} abandoned, ${lostLeaders} leaderships lost, ${partBytes / bodyBytes} parts sent`,
    );
    t.true(replicaOf(worldOf(fixture, store)).hasJoined);
    t.is(abandoned, 0);
    t.is(lostLeaders, 0);
  });
});
