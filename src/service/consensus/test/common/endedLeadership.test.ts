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
  electionAfterEndMilliseconds,
  electionMinimumMilliseconds,
  leaseMilliseconds,
  orderWaitMilliseconds,
} from '../../common/consensusTiming.js';
import { hearOfEndedTerm } from '../../common/endedLeadership.js';
import { mayActAsLeader } from '../../common/lease.js';
import { replicaOf } from '../../common/replicaLog.js';
import { isCurrentLeader } from '../../common/replicaTables.js';

const voters = ['d1', 'd2', 'd3'];
const settleMilliseconds = 6_000;
const stepMilliseconds = 10;
const latencyMilliseconds = 12;
/** The time of a restart, of the next heartbeat, and of the rounds of an election. */
const restartMilliseconds = 100;
const roundsMilliseconds = 250;

const create = (seed: number, latency = latencyMilliseconds): VirtualInstallation => {
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

const timeToLeader = (installation: VirtualInstallation): number => {
  const start = installation.now();
  while (leaderOf(installation) === undefined) installation.runFor(stepMilliseconds);
  return installation.now() - start;
};

[1, 2, 3, 4, 5, 6].forEach((seed) => {
  test(`voters that were all started anew do not wait for a lease that ended (seed ${seed})`, (t) => {
    const installation = create(seed);
    voters.forEach((name) => installation.stop(name));
    installation.runFor(restartMilliseconds);
    voters.forEach((name) => installation.start(name));
    const time = timeToLeader(installation);
    // Two votes may be split once; without the word of the leader nobody votes before the minimum.
    t.true(time <= 2 * (electionAfterEndMilliseconds + roundsMilliseconds), `${time}`);
    t.true(time < electionMinimumMilliseconds);
  });

  test(`voters elect at once when a leader that was started anew is back (seed ${seed})`, (t) => {
    const installation = create(seed);
    const leader = leaderOf(installation)!;
    installation.stop(leader);
    installation.runFor(restartMilliseconds);
    installation.start(leader);
    t.true(timeToLeader(installation) < electionMinimumMilliseconds - restartMilliseconds);
  });

  test(`a leader that is stopped in good order resigns (seed ${seed})`, (t) => {
    const installation = create(seed);
    const leader = leaderOf(installation)!;
    worldOf(installation, leader).setLeaving();
    installation.wake(leader);
    t.is(leaderOf(installation), undefined);
    t.true(timeToLeader(installation) <= electionAfterEndMilliseconds + roundsMilliseconds);
    t.not(leaderOf(installation), leader);
  });
});

test('a leader that is stopped goes on where the others can not elect one of them', (t) => {
  const installation = create(7);
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

test('a voter waits on unless the leader it heard of says that its term has ended', (t) => {
  const installation = create(8);
  const leader = leaderOf(installation)!;
  const [voter, other] = voters.filter((name) => name !== leader) as [string, string];
  const world = worldOf(installation, voter);
  const { term, voteRefusalDeadline } = replicaOf(world);
  const refusalAfter = (sender: string, endedTerm: number): number => {
    hearOfEndedTerm(world, rowOf(world, sender), endedTerm, installation.now());
    return replicaOf(world).voteRefusalDeadline;
  };
  t.is(refusalAfter(other, term), voteRefusalDeadline);
  t.is(refusalAfter(leader, term - 1), voteRefusalDeadline);
  t.is(refusalAfter(leader, term), Number.NEGATIVE_INFINITY);
});

test('a voter that lost its disk recalls no leader and waits the whole time', (t) => {
  const installation = create(9);
  const leader = leaderOf(installation)!;
  installation.stop(leader);
  installation.disk(leader).clear();
  installation.start(leader);
  t.is(replicaOf(worldOf(installation, leader)).endedTerm, 0);
  t.true(timeToLeader(installation) > electionAfterEndMilliseconds + roundsMilliseconds);
});

test('a new leader gives no order until the lease and the orders of the one before have run out', (t) => {
  const installation = create(10);
  const leader = leaderOf(installation)!;
  installation.stop(leader);
  installation.runFor(restartMilliseconds);
  installation.start(leader);
  timeToLeader(installation);
  const world = worldOf(installation, leaderOf(installation)!);
  const elected = installation.events().findLast(({ kind }) => kind === 'leadershipTaken')!;
  installation.runFor(elected.at + orderWaitMilliseconds - installation.now() - stepMilliseconds);
  t.false(mayActAsLeader(world, installation.now()));
  installation.runFor(2 * stepMilliseconds);
  t.true(mayActAsLeader(world, installation.now()));
});

test('a lease is counted from the sending of the renewal, not from its answer', (t) => {
  const slowMilliseconds = 200;
  const installation = create(11, slowMilliseconds);
  const longest = leaseMilliseconds - 2 * slowMilliseconds;
  const world = worldOf(installation, leaderOf(installation)!);
  for (let step = 0; step < 100; step += 1) {
    installation.runFor(stepMilliseconds);
    const left = replicaOf(world).leaseDeadline - installation.now();
    t.true(left <= longest, `${left} of ${longest}`);
  }
});
