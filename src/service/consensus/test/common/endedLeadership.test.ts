import test from 'ava';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { Profile } from '../../../core/common/core.js';
import type { DaemonRow } from '../../../membership/common/membershipTables.js';
import type { DaemonId } from '../../../world/common/identifiers.js';
import type { World } from '../../../world/common/world.js';
import {
  electionJitterAfterLeadershipEndMilliseconds,
  minimumElectionTimeoutMilliseconds,
  leaseDurationMilliseconds,
  orderDelayAfterElectionMilliseconds,
} from '../../common/consensusTiming.js';
import { handleEndedTerm } from '../../common/endedLeadership.js';
import { canActAsLeader } from '../../common/lease.js';
import { replicaOf } from '../../common/replicaLog.js';
import { isCurrentLeader } from '../../common/replicaTables.js';

const voters = ['d1', 'd2', 'd3'];
const settleMilliseconds = 6_000;
const stepMilliseconds = 10;
const latencyMilliseconds = 12;
/** Allowance for a restart, and for the next heartbeat and the rounds of an election. */
const restartMilliseconds = 100;
const electionRoundsMilliseconds = 250;

const createInstallation = (seed: number, latency = latencyMilliseconds): VirtualInstallation => {
  const deployment = createTestDeployment(3, 3);
  const installation = createVirtualInstallation({
    deployment: {
      ...deployment,
      discovery: Discovery.Announced,
      timing: { ...deployment.timing, heartbeatMilliseconds: 500 },
    },
    tree: createTestTree(),
    seed,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
    voters: (_, incarnation) => (incarnation === 1 ? voters : []),
    latency: () => latency,
  });
  installation.runFor(settleMilliseconds);
  return installation;
};

const worldOf = (installation: VirtualInstallation, name: string): World =>
  installation.daemon(name).core.world;

const leaderOf = (installation: VirtualInstallation): string | undefined =>
  installation
    .runningNames()
    .find((name) => isCurrentLeader(replicaOf(worldOf(installation, name)), installation.now()));

const waitForLeader = (installation: VirtualInstallation): number => {
  const start = installation.now();
  while (leaderOf(installation) === undefined) installation.runFor(stepMilliseconds);
  return installation.now() - start;
};

[1, 2, 3, 4, 5, 6].forEach((seed) => {
  test(`restarted voters do not wait for a lease that has ended (seed ${seed})`, (t) => {
    const installation = createInstallation(seed);
    voters.forEach((name) => installation.stop(name));
    installation.runFor(restartMilliseconds);
    voters.forEach((name) => installation.start(name));
    const time = waitForLeader(installation);
    // A vote can be split once. Without the report of the leader, no voter votes before the minimum
    // election timeout.
    t.true(
      time <= 2 * (electionJitterAfterLeadershipEndMilliseconds + electionRoundsMilliseconds),
      `${time}`,
    );
    t.true(time < minimumElectionTimeoutMilliseconds);
  });

  test(`voters elect a leader at once after their leader has restarted (seed ${seed})`, (t) => {
    const installation = createInstallation(seed);
    const leader = leaderOf(installation)!;
    installation.stop(leader);
    installation.runFor(restartMilliseconds);
    installation.start(leader);
    t.true(waitForLeader(installation) < minimumElectionTimeoutMilliseconds - restartMilliseconds);
  });

  test(`a leader that shuts down gracefully resigns (seed ${seed})`, (t) => {
    const installation = createInstallation(seed);
    const leader = leaderOf(installation)!;
    worldOf(installation, leader).setLeaving();
    installation.wake(leader);
    t.is(leaderOf(installation), undefined);
    t.true(
      waitForLeader(installation) <=
        electionJitterAfterLeadershipEndMilliseconds + electionRoundsMilliseconds,
    );
    t.not(leaderOf(installation), leader);
  });
});

test('a leader that shuts down keeps leading if the other voters cannot elect a leader', (t) => {
  const installation = createInstallation(7);
  const leader = leaderOf(installation)!;
  const [stopped] = voters.filter((name) => name !== leader);
  installation.stop(stopped!);
  installation.runFor(settleMilliseconds);
  worldOf(installation, leader).setLeaving();
  installation.wake(leader);
  installation.runFor(settleMilliseconds);
  t.is(leaderOf(installation), leader);
});

const rowOf = (world: World, name: string): DaemonRow => world.daemons.get(name as DaemonId)!;

test('a voter refuses votes unless its last known leader reports an ended term', (t) => {
  const installation = createInstallation(8);
  const leader = leaderOf(installation)!;
  const [voter, other] = voters.filter((name) => name !== leader) as [string, string];
  const world = worldOf(installation, voter);
  const { term, voteRefusalDeadline } = replicaOf(world);
  const refusalDeadlineAfter = (sender: string, endedTerm: number): number => {
    handleEndedTerm(world, rowOf(world, sender), endedTerm, installation.now());
    return replicaOf(world).voteRefusalDeadline;
  };
  t.is(refusalDeadlineAfter(other, term), voteRefusalDeadline);
  t.is(refusalDeadlineAfter(leader, term - 1), voteRefusalDeadline);
  t.is(refusalDeadlineAfter(leader, term), Number.NEGATIVE_INFINITY);
});

test('a voter that lost its disk restores no leader and waits for the full timeout', (t) => {
  const installation = createInstallation(9);
  const leader = leaderOf(installation)!;
  installation.stop(leader);
  installation.disk(leader).clear();
  installation.start(leader);
  t.is(replicaOf(worldOf(installation, leader)).endedTerm, 0);
  t.true(
    waitForLeader(installation) >
      electionJitterAfterLeadershipEndMilliseconds + electionRoundsMilliseconds,
  );
});

test('a new leader sends no order before the lease and orders of the previous one expire', (t) => {
  const installation = createInstallation(10);
  const leader = leaderOf(installation)!;
  installation.stop(leader);
  installation.runFor(restartMilliseconds);
  installation.start(leader);
  waitForLeader(installation);
  const world = worldOf(installation, leaderOf(installation)!);
  const elected = installation.events().findLast(({ kind }) => kind === 'leadershipTaken')!;
  installation.runFor(
    elected.at + orderDelayAfterElectionMilliseconds - installation.now() - stepMilliseconds,
  );
  t.false(canActAsLeader(world, installation.now()));
  installation.runFor(2 * stepMilliseconds);
  t.true(canActAsLeader(world, installation.now()));
});

test('a lease is counted from the sending of the renewal, not from its answer', (t) => {
  const slowMilliseconds = 200;
  const installation = createInstallation(11, slowMilliseconds);
  const maximumRemainingMilliseconds = leaseDurationMilliseconds - 2 * slowMilliseconds;
  const world = worldOf(installation, leaderOf(installation)!);
  for (let step = 0; step < 100; step += 1) {
    installation.runFor(stepMilliseconds);
    const remainingMilliseconds = replicaOf(world).leaseDeadline - installation.now();
    t.true(
      remainingMilliseconds <= maximumRemainingMilliseconds,
      `${remainingMilliseconds} of ${maximumRemainingMilliseconds}`,
    );
  }
});
