/**
 * Guards against a change of voters that a leader computed before it was cut off, and that its
 * successor appended on top of newer ones: the sets then differ by two voters, so that a quorum of one
 * and a quorum of the other may have no voter in common.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { leaderOf, worldOf } from '../../../../../standins/virtual/inspection.js';
import type { VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { findUnsafeChanges, voterSetsOf } from './voterSets.js';

const initialVoters = ['d1', 'd2', 'd3', 'd4'];
/** Control daemon that the cut off leader adds. */
const firstSpare = 'd5';
/** Control daemon that its successor adds. */
const secondSpare = 'd6';
const names = [...initialVoters, firstSpare, secondSpare];

const settleMilliseconds = 6_000;
const changeMilliseconds = 9_000;
/** Within the time for which a proposal is resent, and after the changes of the successor. */
const cutMilliseconds = 3_500;
const latencyMilliseconds = 10;

const createInstallation = (seed: number): VirtualInstallation =>
  createAnnouncedInstallation({
    daemonCount: names.length,
    voterCount: 5,
    seed,
    initiallyStopped: [firstSpare, secondSpare],
    latency: () => latencyMilliseconds,
    voters: (name, incarnation) =>
      initialVoters.includes(name) && incarnation === 1 ? initialVoters : [],
  });

const hasAdded = (installation: VirtualInstallation, leader: string, name: string): boolean =>
  worldOf(installation, leader).members.has(asBrand(name));

const runUntil = (installation: VirtualInstallation, isReached: () => boolean): void => {
  const end = installation.now() + changeMilliseconds;
  while (installation.now() < end && !isReached()) installation.runFor(1);
};

[1, 2, 3, 4, 5].forEach((seed) => {
  test(`no change of voters of a deposed leader follows one of its successor (seed ${seed})`, (t) => {
    const installation = createInstallation(seed);
    installation.runFor(settleMilliseconds);
    const leader = leaderOf(installation)!;
    const separated = [leader, firstSpare];
    const others = names.filter((name) => !separated.includes(name));
    others.forEach((other) => installation.cut(firstSpare, other));
    installation.start(firstSpare);
    runUntil(installation, () => hasAdded(installation, leader, firstSpare));
    t.true(hasAdded(installation, leader, firstSpare));

    // The change is in the log of the leader only.
    others.forEach((other) => installation.cut(leader, other));
    installation.start(secondSpare);
    installation.runFor(cutMilliseconds);
    const successor = leaderOf(installation)!;
    t.false(separated.includes(successor));
    t.true(hasAdded(installation, successor, secondSpare));
    separated.forEach((name) => others.forEach((other) => installation.heal(name, other)));
    installation.runFor(changeMilliseconds);

    t.deepEqual(findUnsafeChanges(worldOf(installation, leaderOf(installation)!)), []);
  });
});

[1, 2, 3].forEach((seed) => {
  test(`a leader does not append a change of voters that another daemon forwards (seed ${seed})`, (t) => {
    const installation = createInstallation(seed);
    installation.runFor(settleMilliseconds);
    const leader = leaderOf(installation)!;
    const other = initialVoters.find((name) => name !== leader)!;
    worldOf(installation, leader).incomingMessages.append({
      from: asBrand(other),
      message: {
        kind: 'proposalForwarded',
        proposal: 'forwarded',
        command: { kind: 'votersSet', voters: [other] },
      },
    });
    installation.wake(leader);
    installation.runFor(changeMilliseconds);
    t.deepEqual(voterSetsOf(worldOf(installation, leader)), [initialVoters]);
  });
});
