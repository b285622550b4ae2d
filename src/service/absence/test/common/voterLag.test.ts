/**
 * Guards against a leader whose log does not say which voters have not joined, so that a second disk is
 * lost too early.
 */
import test from 'ava';
import { replicaOf } from '../../../consensus/common/replicaLog.js';
import { EventKind } from '../../../events/common/eventKind.js';
import {
  collectedTextOf,
  declareAll,
  eventsOf,
  followersOf,
  hasBoundedRate,
  leaderOf,
  loseDisk,
  openFixture,
  settleMilliseconds,
  voters,
  worldOf,
} from './joiningFixture.js';

test('the log of the leader does not say which voter has not joined, and when a second disk may be lost', (t) => {
  const { installation, holdBack, letThrough } = openFixture();
  declareAll(installation);
  const leader = leaderOf(installation);
  const [store] = followersOf(installation) as [string];
  const { lastIndex } = replicaOf(worldOf(installation, leader));
  holdBack(store, lastIndex - 4);
  const since = installation.now();
  loseDisk(installation, store);
  installation.runFor(16_000);
  const lines = eventsOf(installation, leader, EventKind.VoterLagging, since);
  t.true(lines[0]!.at <= since + 1_500, 'soon after the start');
  t.true(lines.length >= 3);
  t.true(hasBoundedRate(lines));
  const { holds } = eventsOf(installation, store, EventKind.NotJoined, since).at(-1)!.subject;
  const last = lines.at(-1)!;
  t.like(last.subject, { voter: store, holds, of: lastIndex, hasJoined: false, answers: true });
  t.like(last.subject, { needsSnapshot: false, perSecond: 0, current: '2/3' });
  t.regex(collectedTextOf(last), /"holds":\d+,"of":\d+,"hasJoined":false,"answers":true/);
  letThrough(store);
  installation.runFor(settleMilliseconds);
  const [caughtUp, ...others] = eventsOf(installation, leader, EventKind.VoterCaughtUp, since);
  t.deepEqual(others, []);
  t.like(caughtUp!.subject, { voter: store, holds: lastIndex, of: lastIndex, current: '3/3' });
  t.true(Number(caughtUp!.subject.laggedForMilliseconds) >= 15_000);
  const other = followersOf(installation).find((name) => name !== store)!;
  t.true(
    eventsOf(installation, leader, EventKind.VoterLagging).every(
      ({ subject }) => subject.voter !== other,
    ),
  );
});

test('the leader counts a voter that is silent as one that holds what it held', (t) => {
  const { installation } = openFixture();
  declareAll(installation);
  const leader = leaderOf(installation);
  const [store] = followersOf(installation) as [string];
  installation.cut(store, leader);
  installation.runFor(9_000);
  const lines = eventsOf(installation, leader, EventKind.VoterLagging);
  t.true(lines.length >= 1);
  t.like(lines.at(-1)!.subject, { voter: store, hasJoined: true, answers: false, current: '2/3' });
  installation.heal(store, leader);
  installation.runFor(settleMilliseconds);
  t.is(eventsOf(installation, leader, EventKind.VoterCaughtUp).length, 1);
});

test('a leader reports voters that are a round trip behind, under constant load', (t) => {
  const { installation } = openFixture();
  const since = installation.now();
  declareAll(installation, 40);
  const lines = voters.flatMap((name) =>
    eventsOf(installation, name, EventKind.VoterLagging, since),
  );
  t.deepEqual(lines, []);
});
