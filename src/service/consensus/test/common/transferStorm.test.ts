/**
 * Guards against a leader that sends renewals and offers as fast as a voter refuses them, for as long
 * as the voter receives a snapshot.
 */
import test from 'ava';
import { entry, followerOf, leaderOf, openSnapshotFixture, voters } from './snapshotFixture.js';

const countedMilliseconds = 2_000;
/** Eight renewals, as many answers that are due at once, and some for new commit indices. */
const maximumAppends = 40;

test('a leader that offers a snapshot sends renewals at the pace of refusals', (t) => {
  let appends = 0;
  let offers = 0;
  let follower: string | undefined;
  const fixture = openSnapshotFixture({
    seed: 7,
    isLost: (_from, to, { kind }) => {
      if (to === follower && kind === 'entriesAppended') appends += 1;
      if (to === follower && kind === 'snapshotOffered') offers += 1;
      // The parts do not arrive in this time: a slow link, or a snapshot that it can't read.
      return to === follower && kind === 'snapshotSent';
    },
  });
  fixture.change(entry, 5);
  const lagging = followerOf(fixture);
  const others = [...voters, entry].filter((name) => name !== lagging);
  others.forEach((name) => fixture.installation.cut(lagging, name));
  fixture.change(entry, 40);
  follower = lagging;
  others.forEach((name) => fixture.installation.heal(lagging, name));
  fixture.installation.runFor(500);
  appends = 0;
  offers = 0;
  t.not(leaderOf(fixture), undefined);
  fixture.installation.runFor(countedMilliseconds);
  t.log(`${appends} appends, ${offers} offers in ${countedMilliseconds} ms`);
  t.true(appends <= maximumAppends, `${appends} appends`);
});
