import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
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
import { replicaOf } from '../../common/replicaLog.js';

const initialVoters = ['d1', 'd2', 'd3'];
const settleMilliseconds = 6_000;
const changeMilliseconds = 9_000;

/** Three voters and two control daemons that are not started initially. */
const createInstallation = (seed: number): VirtualInstallation =>
  createVirtualInstallation({
    deployment: { ...createTestDeployment(5, 5), discovery: Discovery.Announced },
    tree: createTestTree(),
    seed,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
    initiallyStopped: ['d4', 'd5'],
    voters: (name, incarnation) =>
      initialVoters.includes(name) && incarnation === 1 ? initialVoters : [],
  });

const votersAt = (installation: VirtualInstallation, name: string): string[] =>
  [...worldOf(installation, name).members.rows()].map(({ id }) => String(id)).sort();

const declare = (installation: VirtualInstallation, name: string, version: number): void => {
  worldOf(installation, name).proposals.append({
    id: asBrand(`declare-${version}`),
    command: testDeclarationCommand(version),
    proposalDeadline: installation.now() + changeMilliseconds,
  });
  installation.wake(name);
  installation.runFor(changeMilliseconds);
};

[1, 2, 3, 4, 5].forEach((seed) => {
  test(`a permanently lost voter is replaced by a new daemon (seed ${seed})`, (t) => {
    const installation = createInstallation(seed);
    installation.runFor(settleMilliseconds);
    declare(installation, 'd1', 1);

    installation.stop('d3');
    installation.start('d4');
    installation.runFor(changeMilliseconds);
    const leader = leaderOf(installation)!;
    t.deepEqual(votersAt(installation, leader), ['d1', 'd2', 'd4']);

    installation.stop('d2');
    installation.runFor(changeMilliseconds);
    declare(installation, 'd1', 2);
    t.is(versionAt(installation, 'd4'), 2);
  });

  test(`a voter with a replaced disk votes again once it holds the log (seed ${seed})`, (t) => {
    const installation = createInstallation(seed);
    installation.runFor(settleMilliseconds);
    declare(installation, 'd1', 1);

    installation.stop('d2');
    installation.disk('d2').clear();
    installation.start('d2');
    installation.runFor(changeMilliseconds);
    installation.stop('d3');
    installation.runFor(changeMilliseconds);
    t.not(leaderOf(installation), undefined);
    t.is(versionAt(installation, 'd2'), 1);
  });
});

test('new daemons that are not initial voters never elect a leader', (t) => {
  const installation = createInstallation(7);
  initialVoters.forEach((name) => installation.stop(name));
  installation.start('d4');
  installation.start('d5');
  installation.runFor(3 * changeMilliseconds);
  t.is(leaderOf(installation), undefined);
});

test('a voter that was removed while stopped becomes a learner and requests no votes', (t) => {
  const installation = createInstallation(8);
  installation.runFor(settleMilliseconds);
  installation.stop('d3');
  installation.start('d4');
  installation.runFor(changeMilliseconds);
  const { term } = replicaOf(worldOf(installation, leaderOf(installation)!));

  installation.start('d3');
  installation.runFor(changeMilliseconds);
  t.is(replicaOf(worldOf(installation, 'd3')).state, 'learner');
  t.is(replicaOf(worldOf(installation, leaderOf(installation)!)).term, term);
});

test('a removed voter that a late append of the leader reaches becomes a learner again', (t) => {
  const installation = createInstallation(9);
  installation.runFor(settleMilliseconds);
  installation.stop('d3');
  installation.start('d4');
  installation.runFor(changeMilliseconds);
  installation.start('d3');
  installation.runFor(changeMilliseconds);
  const leader = leaderOf(installation)!;
  const removed = worldOf(installation, 'd3');

  // Sent while d3 was a voter, and held up by a partition of the link.
  const { term, incarnation } = { ...replicaOf(removed), ...worldOf(installation, leader) };
  removed.incomingMessages.append({
    from: asBrand(leader),
    message: {
      kind: 'entriesAppended',
      term,
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
      renewal: { incarnation, at: 0 },
      currentAsOf: null,
    },
  });
  installation.wake('d3');
  installation.runFor(changeMilliseconds);
  t.is(replicaOf(removed).state, 'learner');

  declare(installation, leader, 3);
  t.is(versionAt(installation, 'd3'), 3);
});
