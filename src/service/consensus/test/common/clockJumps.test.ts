/**
 * Guards against two leaders at once because the clock of a daemon jumps while it waits for the lease
 * of another one.
 */
import test from 'ava';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { createControlHistory } from '../../../../../standins/virtual/controlHistory.js';
import { leaderOf, worldOf } from '../../../../../standins/virtual/inspection.js';
import type { VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import {
  leaseDurationMilliseconds,
  orderDelayAfterElectionMilliseconds,
} from '../../common/consensusTiming.js';
import { canActAsLeader } from '../../common/lease.js';
import { replicaOf } from '../../common/replicaLog.js';
import { ReplicaState } from '../../common/replicaTables.js';

const voters = ['d1', 'd2', 'd3'];
const settleMilliseconds = 6_000;
const latencyMilliseconds = 5;
const stepMilliseconds = 3_000;
/** A whole lease, and the rounds of an election. */
const observedMilliseconds = 2 * leaseDurationMilliseconds;

interface Situation {
  readonly installation: VirtualInstallation;
  readonly violations: () => readonly string[];
  readonly leader: string;
  /** Voters other than the leader. */
  readonly others: readonly [string, string];
}

const createSituation = (seed: number): Situation => {
  let created: VirtualInstallation | undefined;
  const history = createControlHistory(() => created);
  const installation = createAnnouncedInstallation({
    daemonCount: voters.length,
    voterCount: voters.length,
    seed,
    hasOwnClocks: true,
    latency: () => latencyMilliseconds,
    voters: (_, incarnation) => (incarnation === 1 ? voters : []),
    ports: [history.createPort],
  });
  created = installation;
  installation.runFor(settleMilliseconds);
  const leader = leaderOf(installation)!;
  const others = voters.filter((name) => name !== leader) as [string, string];
  return { installation, violations: history.violations, leader, others };
};

const seeds = [1, 2, 3, 4, 5];

/** Cuts the leader off from all voters but one, on whose answers its lease rests from then on. */
const separateVoter = ({
  installation,
  leader,
  others: [upholding, separated],
}: Situation): string => {
  installation.cut(leader, separated);
  installation.runFor(observedMilliseconds);
  return upholding;
};

seeds.forEach((seed) => {
  test(`a voter whose clock jumps keeps to the lease of its leader (seed ${seed})`, (t) => {
    const situation = createSituation(seed);
    const { installation, violations, leader, others } = situation;
    const upholding = separateVoter(situation);
    t.is(leaderOf(installation), leader);
    installation.cut(leader, upholding);
    installation.stepClock(upholding, stepMilliseconds);
    installation.runFor(observedMilliseconds);
    t.deepEqual(violations().slice(0, 1), []);
    t.true(others.includes(leaderOf(installation)!), 'another leader is elected after the lease');
  });

  test(`a restarted voter whose clock jumps keeps to the lease of its leader (seed ${seed})`, (t) => {
    const situation = createSituation(seed);
    const { installation, violations, leader } = situation;
    const upholding = separateVoter(situation);
    t.is(leaderOf(installation), leader);
    installation.cut(leader, upholding);
    installation.stop(upholding);
    installation.start(upholding);
    installation.runFor(latencyMilliseconds);
    installation.stepClock(upholding, stepMilliseconds);
    installation.runFor(observedMilliseconds);
    t.deepEqual(violations().slice(0, 1), []);
  });

  test(`a new leader whose clock jumps holds back its orders for the whole time (seed ${seed})`, (t) => {
    const { installation, leader, others } = createSituation(seed);
    const isLeading = (name: string): boolean =>
      replicaOf(worldOf(installation, name)).state === ReplicaState.Leader;
    others.forEach((name) => installation.cut(leader, name));
    while (!others.some(isLeading)) installation.runFor(1);
    const electedAt = installation.now();
    const successor = others.find(isLeading)!;
    const canAct = (): boolean =>
      canActAsLeader(worldOf(installation, successor), installation.clockOf(successor));
    while (!canAct()) {
      // Shorter than an election timeout, so that it goes on leading.
      installation.stepClock(successor, leaseDurationMilliseconds / 2);
      installation.runFor(leaseDurationMilliseconds / 2);
    }
    t.true(isLeading(successor));
    t.true(installation.now() >= electedAt + orderDelayAfterElectionMilliseconds - 1);
  });
});

test('the lease of a leader whose clock jumps ends at once', (t) => {
  const { installation, violations, leader } = createSituation(6);
  installation.stepClock(leader, stepMilliseconds);
  t.is(leaderOf(installation), undefined);
  installation.runFor(observedMilliseconds);
  t.not(leaderOf(installation), undefined);
  t.deepEqual(violations(), []);
});
