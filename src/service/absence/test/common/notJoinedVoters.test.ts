/**
 * Guards against an installation without a leader where no log says that voters have not joined and how
 * far they got, nor tells that from a voter that does not take part.
 */
import test from 'ava';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import type {
  VirtualEvent,
  VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { consensusMessageSchema } from '../../../consensus/common/consensusMessages.js';
import { replicaOf } from '../../../consensus/common/replicaLog.js';
import { EventKind } from '../../../events/common/eventKind.js';
import {
  collectedTextOf,
  declareAll,
  entry,
  eventsOf,
  followersOf,
  leaderOf,
  loseDisk,
  openFixture,
  voters,
  worldOf,
  type Fixture,
} from './joiningFixture.js';

/** The incident: a second disk is lost before the first store that lost one has joined. */
const loseTwoDisks = (
  installation: VirtualInstallation,
  holdBack: Fixture['holdBack'],
): Record<'first' | 'second' | 'full', string> => {
  declareAll(installation);
  const second = leaderOf(installation);
  const [first, full] = followersOf(installation) as [string, string];
  const { lastIndex } = replicaOf(worldOf(installation, second));
  holdBack(first, lastIndex - 4);
  loseDisk(installation, first);
  installation.runFor(5_000);
  holdBack(second, lastIndex - 6);
  loseDisk(installation, second);
  installation.runFor(20_000);
  return { first, second, full };
};

test('no log says that two of three voters have not joined, and how far they are', (t) => {
  const { installation, holdBack } = openFixture();
  const { first, second, full } = loseTwoDisks(installation, holdBack);
  const lastOf = (name: string, kind: EventKind): VirtualEvent =>
    eventsOf(installation, name, kind).at(-1)!;
  const { lastIndex } = replicaOf(worldOf(installation, full));
  const heldBy = (name: string): number => replicaOf(worldOf(installation, name)).lastIndex;
  const pattern = (name: string): RegExp =>
    new RegExp(`\\b${name}:${heldBy(name)}/${lastIndex},\\d+s`);
  const candidate = lastOf(full, EventKind.LeaderMissing);
  t.regex(String(candidate.subject.notJoined), /^2\/3 /);
  [first, second].forEach((name) => t.regex(String(candidate.subject.notJoined), pattern(name)));
  t.like(candidate.subject, { hasJoined: true, quorum: 2, granted: 0 });
  t.regex(collectedTextOf(candidate), /"notJoined":"2\/3 d\d:\d+\/\d+,\d+s/);
  t.regex(String(candidate.subject.lastIndices), new RegExp(`\\b${full}:${lastIndex}\\b`));
  [first, second].forEach((name) => {
    const own = lastOf(name, EventKind.LeaderMissing);
    t.regex(collectedTextOf(own), new RegExp(`"notJoined":"\\d/.* ?${name}:${heldBy(name)}/`));
  });
  const empty = lastOf(second, EventKind.LeaderMissing);
  t.regex(String(empty.subject.relayed), /^notJoined=2\/3 /, 'although it knows no voters');
  const atEntry = lastOf(entry, EventKind.ConfigurationMissing);
  t.regex(String(atEntry.subject.leaderAbsence), /^notJoined=2\/3 /);
  [first, second].forEach((name) => t.regex(String(atEntry.subject.leaderAbsence), pattern(name)));
  t.regex(collectedTextOf(atEntry), /"declaration":8,"leaderAbsence":"notJoined=2\/3 d\d:\d+\/\d+/);
});

test('an entry that hears only of a store without its log is told that there is no reason', (t) => {
  const { installation, holdBack } = openFixture();
  const { second, full } = loseTwoDisks(installation, holdBack);
  installation.stop(full);
  installation.stop(voters.find((name) => name !== second && name !== full)!);
  installation.stop(second);
  installation.disk(second).clear();
  installation.start(second);
  installation.runFor(20_000);
  const atEntry = eventsOf(installation, entry, EventKind.ConfigurationMissing).at(-1)!;
  t.regex(String(atEntry.subject.leaderAbsence), new RegExp(`^notJoined=1/\\? ${second}:\\d+/`));
});

test('a voter that still reads its disk looks like one that has not joined', (t) => {
  const installation = createAnnouncedInstallation({
    daemonCount: 3,
    voterCount: 3,
    seed: 1,
    voters: () => voters,
    // Nothing reports what the disk holds.
    hasFakeLog: true,
  });
  installation.runFor(9_000);
  const last = eventsOf(installation, 'd1', EventKind.LeaderMissing).at(-1)!;
  t.like(last.subject, { state: 'recovering', notJoined: '' });
  t.regex(collectedTextOf(last), /"state":"recovering"/);
  t.is(eventsOf(installation, 'd1', EventKind.NotJoined).length, 0);
});

test('messages of older peers, which say nothing of themselves, are refused', (t) => {
  const answered = { kind: 'voteAnswered', term: 2, isPreVote: true, refusal: null };
  const followed = {
    kind: 'entriesFollowed',
    term: 2,
    leader: null,
    afterIndex: 1,
    entries: [],
    throughIndex: 1,
    isAcknowledgementDue: false,
    askedAt: { incarnation: 1, at: 1 },
    age: null,
  };
  [{ ...answered, isConditional: true }, followed].forEach((message) =>
    t.true(consensusMessageSchema.safeParse(message).success),
  );
});
