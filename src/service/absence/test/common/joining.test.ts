/**
 * Guards against a store whose log does not say how far it is from joined and whether it advances, so
 * that a second disk is lost too early, and causes cannot be told apart.
 */
import test from 'ava';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
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

test('the log of an empty store does not say how far it is from joined', (t) => {
  const { installation, holdBack, letThrough } = openFixture();
  declareAll(installation);
  const [store] = followersOf(installation) as [string];
  const { lastIndex } = replicaOf(worldOf(installation, store));
  holdBack(store, lastIndex - 4);
  const since = installation.now();
  loseDisk(installation, store);
  installation.runFor(21_000);
  const lines = eventsOf(installation, store, EventKind.NotJoined, since);
  t.is(lines[0]!.at, since, 'the first line does not wait');
  t.is(lines.length, 5, 'at once, and each 5 s');
  t.true(hasBoundedRate(lines));
  const last = lines.at(-1)!;
  const holds = Number(last.subject.holds);
  t.true(holds > 0 && holds <= lastIndex - 4, `${holds} of ${lastIndex}`);
  t.like(last.subject, { of: lastIndex, perSecond: 0, hasJoined: false });
  t.is(last.subject.from, leaderOf(installation));
  t.regex(
    collectedTextOf(last),
    new RegExp(`"forMilliseconds":20\\d{3},"holds":${holds},"of":${lastIndex},.*"perSecond":0,`),
  );
  t.is(eventsOf(installation, store, EventKind.Joined).length, 0);
  letThrough(store);
  installation.runFor(settleMilliseconds);
  const [joined, ...others] = eventsOf(installation, store, EventKind.Joined, since);
  t.deepEqual(others, []);
  t.true(Number(joined!.subject.missedForMilliseconds) >= 21_000);
  t.like(joined!.subject, { holds: lastIndex, receivedParts: 0, hasJoined: true });
  t.true(Number(joined!.subject.receivedEntries) >= lastIndex);
});

test('a store that joins fast and one that does not advance look the same in its log', (t) => {
  const { installation, holdBack } = openFixture();
  declareAll(installation);
  const [store] = followersOf(installation) as [string];
  holdBack(store, 0);
  loseDisk(installation, store);
  installation.runFor(9_000);
  const { lastIndex } = replicaOf(worldOf(installation, leaderOf(installation)));
  holdBack(store, lastIndex - 4);
  installation.runFor(2_000);
  const rates = eventsOf(installation, store, EventKind.NotJoined).map(({ subject }) => subject);
  t.like(rates.at(-2)!, { holds: 0, perSecond: 0, leftMilliseconds: null });
  const { holds, perSecond, leftMilliseconds } = rates.at(-1)!;
  t.true(Number(perSecond) > 0);
  t.true(Number(leftMilliseconds) > 0);
  t.is(Number(perSecond), Math.round((Number(holds) / 5) * 10) / 10);
});

test('the log of a store that receives a snapshot names no part of it', (t) => {
  const { installation, holdBack, letThrough } = openFixture();
  declareAll(installation, 24);
  const leader = leaderOf(installation);
  t.true(replicaOf(worldOf(installation, leader)).compactedIndex > 0, 'the log was compacted');
  const [store] = followersOf(installation) as [string];
  holdBack(store, 0);
  const since = installation.now();
  loseDisk(installation, store);
  installation.runFor(6_000);
  const held = eventsOf(installation, store, EventKind.NotJoined, since).at(-1)!;
  t.true(Number(held.subject.of) > 0, 'what the sender offers is known before any part arrives');
  t.regex(String(held.subject.parts), /^0\/(\?|\d+)$/);
  letThrough(store);
  installation.runFor(settleMilliseconds);
  const counts = [EventKind.NotJoined, EventKind.Joined]
    .flatMap((kind) => eventsOf(installation, store, kind, since))
    .map(({ subject }) => Number(subject.receivedParts));
  t.true(Math.max(...counts) > 0);
});

test('a spare control daemon that follows is reported for ever as one that has not joined', (t) => {
  const installation = createAnnouncedInstallation({
    daemonCount: 4,
    controlCount: 4,
    voterCount: 3,
    seed: 1,
    voters: (name) => (voters.includes(name) ? voters : []),
  });
  installation.runFor(30_000);
  const lines = eventsOf(installation, 'd4', EventKind.NotJoined);
  t.is(lines.length, 1);
  t.is(eventsOf(installation, 'd4', EventKind.Joined).length, 1);
  voters.forEach((name) => t.is(eventsOf(installation, name, EventKind.NotJoined).length, 0));
});
