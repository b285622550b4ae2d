/** Voters are spread over zones where the settings ask to tolerate the loss of a zone (rule Z1). */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import {
  defaultFleetSettings,
  defaultPlaceSettings,
} from '../../../../infrastructure/settings/common/fleetSettings.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import { leaderOf, versionAt, worldOf } from '../../../../../standins/virtual/inspection.js';
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

const settleMilliseconds = 6_000;
const changeMilliseconds = 12_000;
const voterCount = 5;
const zoneLimit = 2;

interface Options {
  readonly seed: number;
  /** Zones of the control daemons `d1`, `d2`, …. */
  readonly zones: readonly string[];
  readonly initialVoters: readonly string[];
  readonly toleratedZoneLosses?: number;
  readonly initiallyStopped?: readonly string[];
}

const createInstallation = ({
  seed,
  zones,
  initialVoters,
  toleratedZoneLosses = 1,
  initiallyStopped = [],
}: Options): VirtualInstallation => {
  const deployment = createTestDeployment(zones.length, zones.length);
  return createVirtualInstallation({
    deployment: {
      ...deployment,
      discovery: Discovery.Announced,
      daemons: deployment.daemons.map((daemon, index) => ({ ...daemon, zone: zones[index]! })),
    },
    tree: createTestTree(),
    seed,
    profile: Profile.Declaration,
    fleet: {
      ...defaultFleetSettings,
      voterCount,
      places: { ...defaultPlaceSettings, toleratedZoneLosses },
    },
    initiallyStopped,
    voters: (name, incarnation) =>
      initialVoters.includes(name) && incarnation === 1 ? initialVoters : [],
  });
};

const firstFive = ['d1', 'd2', 'd3', 'd4', 'd5'];

const votersAt = (installation: VirtualInstallation, name: string): string[] =>
  [...worldOf(installation, name).members.rows()].map(({ id }) => String(id)).sort();

const votersOf = (installation: VirtualInstallation): string[] =>
  votersAt(installation, leaderOf(installation)!);

/** Numbers of voters by zone, highest first. */
const countsByZone = (voters: readonly string[], zones: readonly string[]): number[] => {
  const zoneOf = (name: string): string => zones[Number(name.slice(1)) - 1]!;
  return [...new Set(zones)]
    .map((zone) => voters.filter((name) => zoneOf(name) === zone).length)
    .sort((first, second) => second - first);
};

const declare = (installation: VirtualInstallation, version: number): void => {
  const name = leaderOf(installation)!;
  worldOf(installation, name).proposals.append({
    id: asBrand(`declare-${version}`),
    command: testDeclarationCommand(version),
    proposalDeadline: installation.now() + changeMilliseconds,
  });
  installation.wake(name);
  installation.runFor(changeMilliseconds);
};

const voterChanges = (installation: VirtualInstallation) =>
  installation.events().filter(({ kind }) => kind === EventKind.VotersChanging);

/** The sets of voters that were proposed, in order. */
const proposedVoters = (installation: VirtualInstallation): string[][] =>
  voterChanges(installation).map(({ subject }) => String(subject.voters).split(','));

const namesInZone = (zones: readonly string[], zone: string): string[] =>
  zones.flatMap((own, index) => (own === zone ? [`d${index + 1}`] : []));

const crowdedZones = ['z1', 'z1', 'z1', 'z1', 'z1', 'z2', 'z2', 'z3', 'z3'];

[1, 2, 3, 4].forEach((seed) => {
  test(`voters that all start in one zone spread out, one change at a time (seed ${seed})`, (t) => {
    const installation = createInstallation({
      seed,
      zones: crowdedZones,
      initialVoters: firstFive,
    });
    installation.runFor(settleMilliseconds + changeMilliseconds);

    const voters = votersOf(installation);
    t.is(voters.length, voterCount);
    t.deepEqual(countsByZone(voters, crowdedZones), [2, 2, 1]);
    const steps = proposedVoters(installation);
    t.true(steps.length >= 6);
    steps.slice(1).forEach((step, index) => {
      const previous = steps[index]!;
      const added = step.filter((name) => !previous.includes(name));
      const removed = previous.filter((name) => !step.includes(name));
      t.is(added.length + removed.length, 1, `${previous.join()} to ${step.join()}`);
      t.true(step.length >= voterCount && step.length <= voterCount + 1);
    });

    // A leader that removes itself would end its leadership in the middle of the changes.
    voterChanges(installation).forEach(({ process, subject }) =>
      t.true(String(subject.voters).split(',').includes(process)),
    );

    // No further change follows, which would move voters back and forth.
    installation.runFor(5 * changeMilliseconds);
    t.is(proposedVoters(installation).length, steps.length);
  });

  test(`the loss of a whole zone leaves a quorum and a leader (seed ${seed})`, (t) => {
    const installation = createInstallation({
      seed,
      zones: crowdedZones,
      initialVoters: firstFive,
    });
    installation.runFor(settleMilliseconds + changeMilliseconds);
    declare(installation, 1);

    namesInZone(crowdedZones, 'z1').forEach((name) => installation.stop(name));
    installation.runFor(changeMilliseconds);
    t.not(leaderOf(installation), undefined);
    declare(installation, 2);
    t.is(versionAt(installation, 'd6'), 2);
    t.true(countsByZone(votersOf(installation), crowdedZones)[0]! <= zoneLimit);

    // The zone comes back, and another one is lost.
    namesInZone(crowdedZones, 'z1').forEach((name) => installation.start(name));
    installation.runFor(changeMilliseconds);
    t.true(countsByZone(votersOf(installation), crowdedZones)[0]! <= zoneLimit);
    namesInZone(crowdedZones, 'z2').forEach((name) => installation.stop(name));
    installation.runFor(changeMilliseconds);
    declare(installation, 3);
    t.is(versionAt(installation, 'd8'), 3);
    t.true(countsByZone(votersOf(installation), crowdedZones)[0]! <= zoneLimit);
  });

  test(`a lost voter is replaced from a zone with few voters (seed ${seed})`, (t) => {
    // The first learner by name is in a full zone; promoting it would let z1 hold a majority.
    const zones = ['z1', 'z1', 'z2', 'z2', 'z3', 'z1', 'z2', 'z3'];
    const installation = createInstallation({ seed, zones, initialVoters: firstFive });
    installation.runFor(settleMilliseconds);
    installation.stop('d5');
    installation.runFor(changeMilliseconds);
    t.deepEqual(votersOf(installation), ['d1', 'd2', 'd3', 'd4', 'd8']);

    installation.stop('d4');
    installation.runFor(changeMilliseconds);
    const voters = votersOf(installation);
    t.is(voters.length, voterCount);
    t.false(voters.includes('d4'));
    t.deepEqual(countsByZone(voters, zones), [2, 2, 1]);
  });
});

test('a lost voter stays a voter while only full zones could replace it', (t) => {
  const zones = ['z1', 'z1', 'z2', 'z2', 'z3', 'z1', 'z2'];
  const installation = createInstallation({ seed: 5, zones, initialVoters: firstFive });
  installation.runFor(settleMilliseconds);
  installation.stop('d5');
  installation.runFor(changeMilliseconds);
  t.deepEqual(votersOf(installation), firstFive);
  declare(installation, 1);
  t.is(versionAt(installation, 'd7'), 1);
});

test('a lost voter of an overfull zone is replaced within it if no other zone has a learner', (t) => {
  const zones = ['z1', 'z1', 'z1', 'z2', 'z2', 'z1'];
  const installation = createInstallation({ seed: 6, zones, initialVoters: firstFive });
  installation.runFor(settleMilliseconds);
  const lost = firstFive.slice(0, 3).find((name) => name !== leaderOf(installation))!;
  installation.stop(lost);
  installation.runFor(changeMilliseconds);
  const voters = votersOf(installation);
  t.false(voters.includes(lost));
  t.true(voters.includes('d6'));
});

test('a daemon that starts in a third zone takes a voter from the overfull one', (t) => {
  const zones = ['z1', 'z1', 'z1', 'z2', 'z2', 'z3'];
  const installation = createInstallation({
    seed: 7,
    zones,
    initialVoters: firstFive,
    initiallyStopped: ['d6'],
  });
  installation.runFor(settleMilliseconds);
  t.deepEqual(votersOf(installation), firstFive);
  installation.start('d6');
  installation.runFor(changeMilliseconds);
  t.deepEqual(countsByZone(votersOf(installation), zones), [2, 2, 1]);
});

test('a promoted learner that is lost before it holds the log is removed again', (t) => {
  const zones = ['z1', 'z1', 'z1', 'z2', 'z2', 'z3'];
  const installation = createInstallation({
    seed: 8,
    zones,
    initialVoters: firstFive,
    initiallyStopped: ['d6'],
  });
  installation.runFor(settleMilliseconds);
  installation.start('d6');
  const isPromoted = (): boolean => proposedVoters(installation).some((step) => step.length === 6);
  for (let waited = 0; !isPromoted() && waited < changeMilliseconds; waited += 1)
    installation.runFor(1);
  installation.stop('d6');
  installation.runFor(2 * changeMilliseconds);
  t.is(votersOf(installation).length, voterCount);
  declare(installation, 1);
  t.is(versionAt(installation, 'd5'), 1);
});

test('nothing changes where no loss of a zone is to be tolerated', (t) => {
  const installation = createInstallation({
    seed: 9,
    zones: crowdedZones,
    initialVoters: firstFive,
    toleratedZoneLosses: 0,
  });
  installation.runFor(settleMilliseconds + changeMilliseconds);
  t.deepEqual(votersOf(installation), firstFive);
  // Only the initial voters are written to the log.
  t.deepEqual(proposedVoters(installation), [firstFive]);

  const lost = firstFive.find((name) => name !== leaderOf(installation))!;
  installation.stop(lost);
  installation.runFor(changeMilliseconds);
  // The first learner replaces the lost voter, whatever its zone.
  const remaining = firstFive.filter((name) => name !== lost);
  t.deepEqual(votersOf(installation), [...remaining, 'd6']);
});
