/**
 * Explores random schedules of changes, restarts, freezes, cuts, losses of power and lost disks on an
 * installation whose log is compacted all the time. No disk is lost before all stores have joined, so
 * no schedule may lose an accepted change, or leave the installation without a leader.
 */
import test from 'ava';
import type { ValueOf } from '../../../../base/common/handlers.js';
import { createRandom, type Random } from '../../../../base/common/random.js';
import { replicaOf } from '../../common/replicaLog.js';
import {
  absenceMilliseconds,
  entry,
  leaderOf,
  loseDisk,
  openSnapshotFixture,
  recoveryMilliseconds,
  versionAt,
  voters,
  worldOf,
  type SnapshotFixture,
} from './snapshotFixture.js';

const Step = {
  Change: 'change',
  Restart: 'restart',
  Freeze: 'freeze',
  Isolate: 'isolate',
  LosePower: 'losePower',
  LoseDisk: 'loseDisk',
} as const;
type Step = ValueOf<typeof Step>;

/** Steps as often as they are drawn. */
const drawnSteps: readonly Step[] = [
  Step.Change,
  Step.Change,
  Step.Change,
  Step.Restart,
  Step.Freeze,
  Step.Isolate,
  Step.LosePower,
  Step.LoseDisk,
  Step.LoseDisk,
];
const stepsPerSchedule = 25;
const maximumChanges = 8;
const maximumDisruptionMilliseconds = 5_000;

const drawVoter = (random: Random): string => voters[random.nextInteger(voters.length)]!;

const haveAllJoined = (fixture: SnapshotFixture): boolean =>
  leaderOf(fixture) !== undefined &&
  voters.every((name) => replicaOf(worldOf(fixture, name)).hasJoined);

const handlers: Readonly<Record<Step, (fixture: SnapshotFixture, random: Random) => void>> = {
  change: (fixture, random) => fixture.change(entry, 1 + random.nextInteger(maximumChanges)),
  restart: ({ installation }, random) => {
    const voter = drawVoter(random);
    installation.stop(voter);
    installation.runFor(random.nextInteger(maximumDisruptionMilliseconds));
    installation.start(voter);
  },
  freeze: (fixture, random) => {
    const voter = drawVoter(random);
    fixture.installation.freeze(voter);
    fixture.change(entry, random.nextInteger(maximumChanges));
    fixture.installation.runFor(random.nextInteger(maximumDisruptionMilliseconds));
    fixture.installation.thaw(voter);
  },
  isolate: (fixture, random) => {
    const voter = drawVoter(random);
    const others = [...voters, entry].filter((name) => name !== voter);
    others.forEach((name) => fixture.installation.cut(voter, name));
    fixture.change(entry, random.nextInteger(maximumChanges));
    fixture.installation.runFor(random.nextInteger(maximumDisruptionMilliseconds));
    others.forEach((name) => fixture.installation.heal(voter, name));
  },
  losePower: ({ installation }, random) => {
    voters.forEach((name) => installation.stop(name));
    installation.runFor(random.nextInteger(absenceMilliseconds));
    voters.forEach((name) => installation.start(name));
  },
  loseDisk: (fixture, random) => {
    if (haveAllJoined(fixture)) loseDisk(fixture, drawVoter(random));
  },
};

/** Returns the numbers of the changes that were reported as accepted. */
const acceptedVersions = (fixture: SnapshotFixture): number[] =>
  [...fixture.accepted()]
    .map((id) => /^declare-(\d+)$/.exec(id)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number);

/** Runs a schedule and describes what went wrong. */
const runSchedule = (seed: number): readonly string[] => {
  const random = createRandom(seed);
  const fixture = openSnapshotFixture({ seed });
  const steps: Step[] = [];
  for (let count = 0; count < stepsPerSchedule; count += 1) {
    const step = drawnSteps[random.nextInteger(drawnSteps.length)]!;
    steps.push(step);
    handlers[step](fixture, random);
    fixture.installation.runFor(random.nextInteger(absenceMilliseconds));
  }
  fixture.installation.runFor(recoveryMilliseconds);
  const accepted = Math.max(0, ...acceptedVersions(fixture));
  const lacking = [...voters, entry].filter((name) => versionAt(fixture, name) < accepted);
  const faults = [
    ...fixture.violations(),
    ...(leaderOf(fixture) === undefined ? ['no leader'] : []),
    ...(haveAllJoined(fixture) ? [] : ['a voter has not joined']),
    ...lacking.map((name) => `${name} holds ${versionAt(fixture, name)} of ${accepted}`),
  ];
  return faults.length === 0 ? [] : [`seed ${seed} (${steps.join(' ')}): ${faults.join('; ')}`];
};

const schedulesPerTest = 4;

[0, 1, 2, 3].forEach((batch) => {
  test(`schedules of lost disks leave no leader or lose a change, batch ${batch}`, (t) => {
    const seeds = Array.from(
      { length: schedulesPerTest },
      (_, position) => batch * schedulesPerTest + position + 1,
    );
    t.deepEqual(seeds.flatMap(runSchedule), []);
  });
});
