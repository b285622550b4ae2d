/**
 * Guards against a voter that missed a change of voters. Two voters are left of three, one of them
 * stops, and the leader adds a third, with which it accepts changes. Then the disk of the leader is
 * lost, and the voter that stopped returns with the voters that it knew.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { leaderOf, versionAt, worldOf } from '../../../../../standins/virtual/inspection.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { createControlHistory } from '../../../../../standins/virtual/controlHistory.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import { type VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { replicaOf } from '../../common/replicaLog.js';
import { ReplicaState } from '../../common/replicaTables.js';

const initialVoters = ['d1', 'd2', 'd3'];
const successor = 'd4';
const secondSuccessor = 'd5';
const settleMilliseconds = 6_000;
const acceptanceMilliseconds = 2_000;
/** `recoveryS` of the users' requirements. */
const recoveryMilliseconds = 12_000;
const changeMilliseconds = 9_000;

/** What happens to the successor while the others start. */
const separations: Readonly<
  Record<string, (installation: VirtualInstallation, others: readonly string[]) => void>
> = {
  restarted: (installation) => {
    installation.stop(successor);
    installation.start(successor);
  },
  'cut off': (installation, others) =>
    others.forEach((other) => installation.cut(successor, other)),
};

interface Situation {
  readonly installation: VirtualInstallation;
  readonly violations: () => readonly string[];
  /** Leader until its loss. */
  readonly leader: string;
  /** Voter that knows only the leader and itself as voters; it is stopped. */
  readonly stale: string;
}

/** Whether the leader has written the change that adds the successor; nobody has received it yet. */
const hasLoggedSuccessor = (installation: VirtualInstallation, leader: string): boolean =>
  worldOf(installation, leader).members.has(asBrand(successor));

const declare = (
  installation: VirtualInstallation,
  name: string,
  version: number,
  duration: number,
): void => {
  worldOf(installation, name).proposals.append({
    id: asBrand(`declare-${version}`),
    command: testDeclarationCommand(version),
    proposalDeadline: installation.now() + duration,
  });
  installation.wake(name);
  installation.runFor(duration);
};

const runUntil = (installation: VirtualInstallation, isReached: () => boolean): void => {
  const end = installation.now() + changeMilliseconds;
  while (installation.now() < end && !isReached()) installation.runFor(1);
};

/** Starts three voters and waits until version 1 is accepted. */
const createInstallation = (seed: number): Omit<Situation, 'stale'> => {
  let created: VirtualInstallation | undefined;
  const history = createControlHistory(() => created);
  const installation = createAnnouncedInstallation({
    daemonCount: 5,
    voterCount: 3,
    seed,
    initiallyStopped: [successor, secondSuccessor],
    voters: (name, incarnation) =>
      initialVoters.includes(name) && incarnation === 1 ? initialVoters : [],
    ports: [history.createPort],
  });
  created = installation;
  installation.runFor(settleMilliseconds);
  const leader = leaderOf(installation)!;
  declare(installation, leader, 1, acceptanceMilliseconds);
  return { installation, violations: history.violations, leader };
};

/** Runs up to the moment at which version 2 is accepted by the leader and the successor alone. */
const createSituation = (seed: number): Situation => {
  const { installation, violations, leader } = createInstallation(seed);
  const [stale, lost] = initialVoters.filter((name) => name !== leader) as [string, string];
  installation.stop(lost);
  installation.start(successor);
  runUntil(installation, () => hasLoggedSuccessor(installation, leader));
  installation.stop(stale);
  declare(installation, leader, 2, acceptanceMilliseconds);
  return { installation, violations, leader, stale };
};

[1, 2, 3, 4, 5].forEach((seed) => {
  test(`the situation is reached: the successor accepts, the stopped voter lacks it (seed ${seed})`, (t) => {
    const { installation, leader, stale } = createSituation(seed);
    t.is(versionAt(installation, leader), 2);
    t.is(versionAt(installation, successor), 2);
    t.false(installation.runningNames().includes(stale));
  });

  Object.entries(separations).forEach(([separation, separate]) => {
    test(`a voter that missed a change is not elected by an emptied voter, successor ${separation} (seed ${seed})`, (t) => {
      const { installation, violations, leader, stale } = createSituation(seed);
      installation.stop(leader);
      installation.disk(leader).clear();
      separate(installation, [leader, stale]);
      installation.start(leader);
      installation.start(stale);
      installation.runFor(recoveryMilliseconds);
      installation.heal(successor, leader);
      installation.heal(successor, stale);
      installation.runFor(recoveryMilliseconds);
      t.deepEqual(violations(), []);
      const newLeader = leaderOf(installation);
      t.true(newLeader === undefined || versionAt(installation, newLeader) === 2);
    });
  });

  test(`a voter that missed a change elects its successor without the lost leader (seed ${seed})`, (t) => {
    const { installation, violations, leader, stale } = createSituation(seed);
    installation.stop(leader);
    installation.start(stale);
    installation.runFor(recoveryMilliseconds);
    t.deepEqual(violations(), []);
    t.is(leaderOf(installation), successor);
    t.is(versionAt(installation, stale), 2);
  });

  test(`a removed voter that restarts does not elect a voter that lacks its entries (seed ${seed})`, (t) => {
    const { installation, violations, leader } = createInstallation(seed);
    const [stale, removed] = initialVoters.filter((name) => name !== leader) as [string, string];
    installation.stop(stale);
    installation.start(successor);
    installation.runFor(changeMilliseconds);
    declare(installation, leader, 2, acceptanceMilliseconds);
    t.is(versionAt(installation, removed), 2);
    installation.stop(removed);
    installation.start(secondSuccessor);
    installation.runFor(changeMilliseconds);
    t.true(worldOf(installation, leader).members.has(asBrand(secondSuccessor)));

    installation.stop(leader);
    installation.disk(leader).clear();
    installation.runFor(changeMilliseconds);
    installation.start(removed);
    runUntil(
      installation,
      () => replicaOf(worldOf(installation, removed)).state === ReplicaState.Learner,
    );
    [leader, stale, removed].forEach((name) => {
      installation.cut(name, successor);
      installation.cut(name, secondSuccessor);
    });
    installation.start(leader);
    installation.start(stale);
    installation.runFor(recoveryMilliseconds);
    t.deepEqual(violations(), []);
    t.true([successor, secondSuccessor].includes(leaderOf(installation)!));
  });

  test(`emptied daemons that restart cut off from their successors elect no removed voter (seed ${seed})`, (t) => {
    const { installation, violations, leader } = createInstallation(seed);
    const [stale, removed] = initialVoters.filter((name) => name !== leader) as [string, string];
    const successors = [successor, secondSuccessor];
    installation.stop(stale);
    installation.start(successor);
    installation.runFor(changeMilliseconds);
    declare(installation, leader, 2, acceptanceMilliseconds);
    installation.stop(removed);
    installation.disk(removed).clear();
    installation.start(secondSuccessor);
    installation.runFor(changeMilliseconds);
    installation.start(removed);
    installation.runFor(changeMilliseconds);
    t.true(successors.every((name) => worldOf(installation, leader).members.has(asBrand(name))));

    [leader, removed, ...successors].forEach((name) => installation.stop(name));
    installation.disk(leader).clear();
    [leader, stale, removed].forEach((name) =>
      successors.forEach((other) => installation.cut(name, other)),
    );
    [leader, stale, removed, ...successors].forEach((name) => installation.start(name));
    installation.runFor(recoveryMilliseconds);
    t.deepEqual(violations(), []);
  });
});
