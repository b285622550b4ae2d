/**
 * A log whose entries together exceed a frame between daemons: followers and learners that lack them
 * catch up, and little of it is under way to each of them at any time. Frames that the receiver would
 * refuse are lost here, as they are between processes.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import {
  maximumBatchBytes,
  maximumFrameBytes,
  maximumUnacknowledgedBytes,
} from '../../../../infrastructure/wire/common/frameLimits.js';
import { encodeFrame } from '../../../../infrastructure/wire/node/frames.js';
import { leaderOf, versionAt, worldOf } from '../../../../../standins/virtual/inspection.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { Profile } from '../../../core/common/core.js';
import { EventKind } from '../../../events/common/eventKind.js';
import type { Message } from '../../../messages/common/message.js';
import type { DaemonId } from '../../../world/common/identifiers.js';
import { replicaOf } from '../../common/replicaLog.js';

const voters = ['d1', 'd2', 'd3'];
const entry = 'd4';
const settleMilliseconds = 6_000;
const changeMilliseconds = 300;
/** `recoveryS` of the users' installations. */
const recoveryMilliseconds = 12_000;

/** Together more than a frame; each is about as large as a declaration with 1,400 routes. */
const changeCount = 80;
const documentBytes = 900_000;

/** Bytes that a message has beside its entries. */
const messageOverheadBytes = 4_096;

const documentOf = (version: number): string => `${version} `.padEnd(documentBytes, 'x');

const frameBytesOf = (message: Message): number =>
  encodeFrame(message).match(
    (frame) => frame.length,
    () => Number.POSITIVE_INFINITY,
  );

const hasEntries = (message: Message): boolean =>
  (message.kind === 'entriesAppended' || message.kind === 'entriesFollowed') &&
  message.entries.length > 0;

interface Fixture {
  readonly installation: VirtualInstallation;
  /** Sizes of all messages with entries. */
  readonly sizes: readonly number[];
  /** Cuts the messages with entries to a daemon. */
  readonly loseEntriesTo: (name: string) => void;
}

const openFixture = (seed: number): Fixture => {
  const sizes: number[] = [];
  const cut = new Set<string>();
  const installation = createVirtualInstallation({
    deployment: { ...createTestDeployment(4, 3), discovery: Discovery.Announced },
    tree: createTestTree(),
    seed,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
    voters: (name, incarnation) => (voters.includes(name) && incarnation === 1 ? voters : []),
    onDidSendMessage: (_from, _to, message) => {
      if (hasEntries(message)) sizes.push(frameBytesOf(message));
    },
    isLost: (_from, to, message) =>
      hasEntries(message) && (cut.has(to) || frameBytesOf(message) > maximumFrameBytes),
  });
  installation.runFor(settleMilliseconds);
  return { installation, sizes, loseEntriesTo: (name) => cut.add(name) };
};

const propose = (installation: VirtualInstallation, name: string, version: number): void => {
  worldOf(installation, name).proposals.append({
    id: asBrand(`declare-${version}`),
    command: { ...testDeclarationCommand(version), document: documentOf(version) },
    proposalDeadline: installation.now() + settleMilliseconds,
  });
  installation.wake(name);
};

const declareAll = (installation: VirtualInstallation): void => {
  for (let version = 1; version <= changeCount; version += 1) {
    propose(installation, 'd1', version);
    installation.runFor(changeMilliseconds);
  }
};

test('RECOVER: an entry catches up with more than a frame of log after a restart of all', (t) => {
  const { installation, sizes } = openFixture(1);
  declareAll(installation);
  t.is(versionAt(installation, entry), changeCount);
  [...voters, entry].forEach((name) => installation.stop(name));
  installation.runFor(changeMilliseconds);
  [...voters, entry].forEach((name) => installation.start(name));
  installation.runFor(recoveryMilliseconds);
  t.is(versionAt(installation, entry), changeCount);
  t.true(Math.max(...sizes) <= maximumFrameBytes);
});

test('LOST: after two lost disks, one after the other, what was accepted is still there', (t) => {
  const { installation } = openFixture(2);
  declareAll(installation);
  const follower = voters.find((name) => name !== leaderOf(installation))!;
  const loseDisk = (name: string): void => {
    installation.stop(name);
    installation.disk(name).clear();
    installation.runFor(settleMilliseconds / 3);
    installation.start(name);
    installation.runFor(recoveryMilliseconds);
  };
  loseDisk(follower);
  const leader = leaderOf(installation)!;
  loseDisk(leader === follower ? voters.find((name) => name !== follower)! : leader);
  t.not(leaderOf(installation), undefined);
  voters.forEach((name) => t.is(versionAt(installation, name), changeCount));
});

test('a voter that is far behind costs its leader a bounded number of bytes under way', (t) => {
  const { installation, sizes, loseEntriesTo } = openFixture(3);
  const leader = leaderOf(installation)!;
  const follower = voters.find((name) => name !== leader)!;
  const { members } = worldOf(installation, leader);
  loseEntriesTo(follower);
  declareAll(installation);
  const { unacknowledgedBytes } = members.get(follower as DaemonId)!;
  t.true(unacknowledgedBytes <= Math.max(maximumUnacknowledgedBytes, 2 * documentBytes));
  t.true(Math.max(...sizes) <= Math.max(maximumBatchBytes, documentBytes) + messageOverheadBytes);
  const reports = installation.events().filter(({ kind }) => kind === EventKind.VoterBehind);
  t.true(reports.some(({ subject }) => subject.voter === follower));
  t.is(versionAt(installation, leader), changeCount);
});

test('a learner that gets no entries is reported, and is sent no more than the limit', (t) => {
  const { installation, loseEntriesTo } = openFixture(4);
  loseEntriesTo(entry);
  declareAll(installation);
  const rows = voters.flatMap((name) => [...worldOf(installation, name).followingLearners.rows()]);
  t.true(
    rows.every(({ unacknowledgedBytes }) => unacknowledgedBytes <= maximumUnacknowledgedBytes),
  );
  const reports = installation.events().filter(({ kind }) => kind === EventKind.LearnerBehind);
  t.true(reports.some(({ subject }) => subject.learner === entry));
});

test('a command that does not fit a frame is refused at acceptance', (t) => {
  const { installation } = openFixture(5);
  const { proposals, proposalOutcomes } = worldOf(installation, 'd1');
  const id = asBrand<Parameters<typeof proposalOutcomes.get>[0]>('declare-large');
  proposals.append({
    id,
    command: { ...testDeclarationCommand(1), document: 'x'.repeat(maximumFrameBytes) },
    proposalDeadline: installation.now() + settleMilliseconds,
  });
  installation.wake('d1');
  const outcome = proposalOutcomes.get(id)?.outcome;
  t.is(outcome?.kind === 'rejected' ? outcome.rejection.kind : undefined, 'commandTooLarge');
  propose(installation, 'd1', 2);
  installation.runFor(settleMilliseconds);
  t.is(versionAt(installation, entry), 2);
});

/** Two requests of the learner, and the delay after which entries are sent again. */
const resynchronizationMilliseconds = 1_600;

test('a learner that lost a message about entries which it does not receive is current again soon', (t) => {
  const { installation } = openFixture(6);
  propose(installation, 'd1', 1);
  installation.runFor(changeMilliseconds);
  for (let round = 0; round < 20; round += 1) {
    voters.forEach((name) => installation.cut(name, entry));
    worldOf(installation, 'd1').proposals.append({
      id: asBrand(`version-${round}`),
      command: { kind: 'versionNamed', model: 'm0', version: round + 2 },
      proposalDeadline: installation.now() + settleMilliseconds,
    });
    installation.wake('d1');
    installation.runFor(50 + 17 * round);
    voters.forEach((name) => installation.heal(name, entry));
    installation.runFor(resynchronizationMilliseconds);
    const { currentAsOf } = replicaOf(worldOf(installation, entry));
    t.true(installation.now() - currentAsOf < resynchronizationMilliseconds, `round ${round}`);
  }
});
