/**
 * Guards against a store whose log, and a leader whose log, do not say how far the store is from
 * joined, so that a second disk is taken too early, and against causes that cannot be told apart.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import type {
  VirtualEvent,
  VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { replicaOf } from '../../../consensus/common/replicaLog.js';
import { EventKind } from '../../../events/common/eventKind.js';
import type { Message } from '../../../messages/common/message.js';
import { reportIntervalMilliseconds } from '../../common/absenceSystem.js';

const voters = ['d1', 'd2', 'd3'];
const entry = 'd4';
const settleMilliseconds = 6_000;
const changeMilliseconds = 300;

/** Changes that fit no single message, so that a store can hold a part of them. */
const documentBytes = 200_000;
const changeCount = 8;

/** Bytes of a line before its event: level, time, process and host name, as in the incident. */
const linePrefixBytes = 75;
const collectedBytes = 200;

interface Fixture {
  readonly installation: VirtualInstallation;
  /** Loses the entries after an index on their way to a daemon, and parts of snapshots. */
  readonly holdBack: (name: string, afterIndex: number) => void;
  readonly letThrough: (name: string) => void;
}

const sentIndexOf = (message: Message): number => {
  if (message.kind === 'snapshotSent') return Number.POSITIVE_INFINITY;
  const isSending = message.kind === 'entriesAppended' || message.kind === 'entriesFollowed';
  return isSending ? (message.entries.at(-1)?.index ?? 0) : 0;
};

const openFixture = (): Fixture => {
  const held = new Map<string, number>();
  const installation = createAnnouncedInstallation({
    daemonCount: voters.length + 1,
    controlCount: voters.length,
    voterCount: voters.length,
    seed: 1,
    voters: (_name, incarnation) => (incarnation === 1 ? voters : []),
    isLost: (_from, to, message) =>
      sentIndexOf(message) > (held.get(to) ?? Number.POSITIVE_INFINITY),
  });
  installation.runFor(settleMilliseconds);
  return {
    installation,
    holdBack: (name, afterIndex) => held.set(name, afterIndex),
    letThrough: (name) => held.delete(name),
  };
};

const worldOf = (installation: VirtualInstallation, name: string) =>
  installation.daemon(name).core.world;

const declareAll = (installation: VirtualInstallation, count = changeCount): void => {
  for (let version = 1; version <= count; version += 1) {
    worldOf(installation, 'd1').proposals.append({
      id: asBrand(`declare-${version}`),
      command: {
        ...testDeclarationCommand(version),
        document: `${version} `.padEnd(documentBytes, 'x'),
      },
      proposalDeadline: installation.now() + settleMilliseconds,
    });
    installation.wake('d1');
    installation.runFor(changeMilliseconds);
  }
};

const loseDisk = (installation: VirtualInstallation, name: string): void => {
  installation.stop(name);
  installation.disk(name).clear();
  installation.start(name);
};

const leaderOf = (installation: VirtualInstallation): string =>
  replicaOf(worldOf(installation, entry)).leader!;

const followersOf = (installation: VirtualInstallation): string[] =>
  voters.filter((name) => name !== leaderOf(installation));

const eventsOf = (
  installation: VirtualInstallation,
  process: string,
  kind: EventKind,
  since = 0,
): VirtualEvent[] =>
  installation
    .events()
    .filter((event) => event.process === process && event.kind === kind && event.at >= since);

/** Returns what a collector that cuts lines keeps of the event. */
const collectedTextOf = ({ kind, subject }: VirtualEvent): string =>
  JSON.stringify({ event: kind, ...subject }).slice(0, collectedBytes - linePrefixBytes);

const assertBoundedRate = (events: readonly VirtualEvent[]): boolean =>
  events
    .slice(1)
    .every(({ at }, position) => at - events[position]!.at >= reportIntervalMilliseconds);

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
  t.true(assertBoundedRate(lines));
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
  t.true(assertBoundedRate(lines));
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
