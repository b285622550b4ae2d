/**
 * Guards against a compaction that costs the installation its leader: voters compact at about the same
 * entry, and what they answer the leader waits for the replacement of their files, which no answer
 * rests on.
 */
import test from 'ava';
import { EventKind } from '../../../events/common/eventKind.js';
import { entry, openSnapshotFixture, versionAt, voters } from './snapshotFixture.js';

[500, 1_000, 1_300, 1_500, 2_000].forEach((replaceDelay) => {
  test(`the leader is lost while files are replaced by a snapshot, for ${replaceDelay} ms`, (t) => {
    const fixture = openSnapshotFixture({ seed: 12 });
    const { installation } = fixture;
    voters.forEach((name) => {
      installation.disk(name).faults.replaceDelay = replaceDelay;
    });
    const first = installation.events().length;
    fixture.change(entry, 40);
    installation.runFor(12_000);
    const lost = installation
      .events()
      .slice(first)
      .filter(({ kind }) => kind === EventKind.LeadershipLost);
    t.log(`${lost.length} leaderships lost, version ${versionAt(fixture, entry)}`);
    t.is(lost.length, 0);
    t.deepEqual(fixture.violations(), []);
  });
});
