import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
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
import { declarationId } from '../../../declaration/common/declarationTables.js';
import type { Command } from '../../common/command.js';
import { replicaOf } from '../../common/replicaLog.js';
import { isCurrentLeader } from '../../common/replicaTables.js';
import { findRetirement, RetirementState } from '../../common/retirement.js';

const initialVoters = ['d1', 'd2', 'd3'];
const settleMilliseconds = 6_000;
const changeMilliseconds = 12_000;

/** Three voters and a fourth control daemon that is not started; labels derive from the names. */
const createInstallation = (seed: number): VirtualInstallation => {
  const deployment = createTestDeployment(4, 4);
  return createVirtualInstallation({
    deployment: {
      ...deployment,
      discovery: Discovery.Announced,
      daemons: deployment.daemons.map((daemon) => ({ ...daemon, label: `vm-${daemon.name}` })),
    },
    tree: createTestTree(),
    seed,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
    initiallyStopped: ['d4'],
    voters: (name, incarnation) =>
      initialVoters.includes(name) && incarnation === 1 ? initialVoters : [],
  });
};

const worldOf = (installation: VirtualInstallation, name: string) =>
  installation.daemon(name).core.world;

const leaderOf = (installation: VirtualInstallation): string =>
  installation
    .runningNames()
    .find((name) => isCurrentLeader(replicaOf(worldOf(installation, name)), installation.now()))!;

const votersAt = (installation: VirtualInstallation, name: string): string[] =>
  [...worldOf(installation, name).members.rows()].map(({ id }) => String(id)).sort();

const retirementStateOf = (installation: VirtualInstallation, daemon: string): RetirementState =>
  findRetirement(worldOf(installation, leaderOf(installation)), `vm-${daemon}`).state;

const commitCommand = (installation: VirtualInstallation, id: string, command: Command): void => {
  const name = leaderOf(installation);
  const proposalDeadline = installation.now() + changeMilliseconds;
  worldOf(installation, name).proposals.append({ id: asBrand(id), command, proposalDeadline });
  installation.wake(name);
  installation.runFor(changeMilliseconds);
};

const retire = (installation: VirtualInstallation, daemon: string): void =>
  commitCommand(installation, `retirement/${daemon}`, {
    kind: 'daemonRetired',
    daemon,
    label: `vm-${daemon}`,
  });

const versionAt = (installation: VirtualInstallation, name: string): number | undefined =>
  worldOf(installation, name).declarations.get(declarationId)?.version;

const otherDaemons = (daemon: string): string[] =>
  ['d1', 'd2', 'd3', 'd4'].filter((name) => name !== daemon);

const wipeDisk = (installation: VirtualInstallation, name: string): void => {
  installation.stop(name);
  installation.disk(name).clear();
  installation.start(name);
};

[1, 2, 3, 4].forEach((seed) =>
  ['leader', 'follower'].forEach((role) =>
    test.serial(
      `a retired ${role} can be stopped before another disk is lost (seed ${seed})`,
      (t) => {
        const installation = createInstallation(seed);
        installation.runFor(settleMilliseconds);
        installation.start('d4');
        installation.runFor(settleMilliseconds);
        commitCommand(installation, 'declare', testDeclarationCommand(5));
        const leader = leaderOf(installation);
        const retired = role === 'leader' ? leader : initialVoters.find((name) => name !== leader)!;
        t.is(retirementStateOf(installation, retired), RetirementState.Possible);

        retire(installation, retired);
        t.is(retirementStateOf(installation, retired), RetirementState.Completed);
        t.deepEqual(votersAt(installation, leaderOf(installation)), otherDaemons(retired));

        installation.stop(retired);
        const [lost] = otherDaemons(retired);
        wipeDisk(installation, lost!);
        installation.runFor(changeMilliseconds);
        commitCommand(installation, 'declare again', testDeclarationCommand(6));
        otherDaemons(retired).forEach((name) => t.is(versionAt(installation, name), 6, name));
        t.deepEqual(votersAt(installation, leaderOf(installation)), otherDaemons(retired));
      },
    ),
  ),
);

test('a daemon cannot retire if too few control daemons would remain', (t) => {
  const installation = createInstallation(5);
  installation.runFor(settleMilliseconds);
  t.is(retirementStateOf(installation, 'd2'), RetirementState.TooFewRemaining);
  t.is(retirementStateOf(installation, 'd9'), RetirementState.Unknown);
});

test('a retirement is not complete while the successor lacks entries', (t) => {
  const installation = createInstallation(6);
  installation.runFor(settleMilliseconds);
  installation.start('d4');
  installation.runFor(settleMilliseconds);
  const retired = initialVoters.find((name) => name !== leaderOf(installation))!;
  installation.stop('d4');
  retire(installation, retired);
  t.is(retirementStateOf(installation, retired), RetirementState.Running);
  t.true(votersAt(installation, leaderOf(installation)).includes(retired));
});
