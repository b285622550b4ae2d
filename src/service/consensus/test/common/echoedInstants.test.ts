/**
 * Instants that other daemons echo. The clock of a process starts anew, so what belongs to an earlier
 * process of the same daemon, or lies in the future, must neither make state count as current nor
 * extend a lease.
 */
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
import { isDeclarationFresh } from '../../../declaration/common/findRoute.js';
import type { Message } from '../../../messages/common/message.js';
import type { DaemonId } from '../../../world/common/identifiers.js';
import type { World } from '../../../world/common/world.js';
import { freshnessMilliseconds, leaseDurationMilliseconds } from '../../common/consensusTiming.js';
import { replicaOf } from '../../common/replicaLog.js';
import { isCurrentLeader } from '../../common/replicaTables.js';

const voters = ['d1', 'd2', 'd3'];
const entry = 'd4';
const all = [...voters, entry];
const settleMilliseconds = 6_000;
/** Uptime of the processes that are replaced. */
const uptimeMilliseconds = 35_000;
/** Less than the time after which a learner follows another daemon. */
const relayedMilliseconds = 1_000;
/** Well within the uptime of the replaced processes. */
const returnMilliseconds = 10_000;

const createInstallation = (seed: number): VirtualInstallation => {
  const installation = createVirtualInstallation({
    deployment: { ...createTestDeployment(4, 3), discovery: Discovery.Announced },
    tree: createTestTree(),
    seed,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
    voters: (name, incarnation) => (voters.includes(name) && incarnation === 1 ? voters : []),
    hasOwnClocks: true,
  });
  installation.runFor(settleMilliseconds);
  return installation;
};

const worldOf = (installation: VirtualInstallation, name: string): World =>
  installation.daemon(name).core.world;

const nowAt = (installation: VirtualInstallation, name: string): number =>
  installation.now() - installation.daemon(name).clockOrigin;

const leaderOf = (installation: VirtualInstallation): string =>
  installation
    .runningNames()
    .find((name) =>
      isCurrentLeader(replicaOf(worldOf(installation, name)), nowAt(installation, name)),
    )!;

const declare = (installation: VirtualInstallation, name: string, version: number): void => {
  worldOf(installation, name).proposals.append({
    id: asBrand(`declare-${version}`),
    command: testDeclarationCommand(version),
    proposalDeadline: nowAt(installation, name) + settleMilliseconds,
  });
  installation.wake(name);
};

const isolate = (installation: VirtualInstallation, name: string): void =>
  all.filter((other) => other !== name).forEach((other) => installation.cut(name, other));

const isFresh = (installation: VirtualInstallation, name: string): boolean =>
  isDeclarationFresh(worldOf(installation, name), nowAt(installation, name));

const restart = (installation: VirtualInstallation, name: string): void => {
  installation.stop(name);
  installation.runFor(1_000);
  installation.start(name);
  installation.runFor(returnMilliseconds);
};

[1, 2, 3].forEach((seed) =>
  test(`CONFIG: a restarted follower is not current once it is cut off (seed ${seed})`, (t) => {
    const installation = createInstallation(seed);
    declare(installation, 'd1', 1);
    installation.runFor(uptimeMilliseconds);
    const follower = voters.find((name) => name !== leaderOf(installation))!;
    restart(installation, follower);
    t.true(isFresh(installation, follower));
    const { currentAsOf } = replicaOf(worldOf(installation, follower));
    t.true(currentAsOf <= nowAt(installation, follower));
    isolate(installation, follower);
    installation.runFor(freshnessMilliseconds + 100);
    t.false(isFresh(installation, follower));
  }),
);

test('CONFIG: a restarted entry is not current once it is cut off', (t) => {
  const installation = createInstallation(4);
  declare(installation, 'd1', 1);
  installation.runFor(uptimeMilliseconds);
  restart(installation, entry);
  t.true(isFresh(installation, entry));
  isolate(installation, entry);
  installation.runFor(freshnessMilliseconds + 100);
  t.false(isFresh(installation, entry));
});

const foreignInstants = (world: World, now: number) => ({
  'of an earlier process': { incarnation: world.incarnation - 1, at: now },
  'in the future': { incarnation: world.incarnation, at: now + uptimeMilliseconds },
});
type Origin = keyof ReturnType<typeof foreignInstants>;
const origins: readonly Origin[] = ['of an earlier process', 'in the future'];

const receive = (
  installation: VirtualInstallation,
  name: string,
  from: string,
  message: Message,
): void => {
  worldOf(installation, name).incomingMessages.append({ from: asBrand<DaemonId>(from), message });
  installation.wake(name);
};

origins.forEach((origin) => {
  test(`an answered renewal ${origin} extends no lease`, (t) => {
    const installation = createInstallation(5);
    const leader = leaderOf(installation);
    const follower = voters.find((name) => name !== leader)!;
    isolate(installation, leader);
    const world = worldOf(installation, leader);
    const isolatedAt = nowAt(installation, leader);
    installation.runFor(leaseDurationMilliseconds / 2);
    const instants = foreignInstants(world, nowAt(installation, leader));
    receive(installation, leader, follower, {
      kind: 'appendAnswered',
      term: replicaOf(world).term,
      accepted: false,
      isNew: false,
      matchIndex: 0,
      renewal: instants[origin],
      answeredAt: { incarnation: 1, at: 0 },
    });
    t.true(replicaOf(world).leaseDeadline <= isolatedAt + leaseDurationMilliseconds);
    installation.runFor(leaseDurationMilliseconds);
    t.false(isCurrentLeader(replicaOf(world), nowAt(installation, leader)));
  });

  test(`a confirmation ${origin} makes no voter current`, (t) => {
    const installation = createInstallation(6);
    declare(installation, 'd1', 1);
    installation.runFor(settleMilliseconds);
    const leader = leaderOf(installation);
    const follower = voters.find((name) => name !== leader)!;
    isolate(installation, follower);
    installation.runFor(freshnessMilliseconds + 100);
    t.false(isFresh(installation, follower));
    const { term, lastIndex, lastTerm, commitIndex } = replicaOf(worldOf(installation, follower));
    receive(installation, follower, leader, {
      kind: 'entriesAppended',
      term,
      previousIndex: lastIndex,
      previousTerm: lastTerm,
      entries: [],
      commitIndex,
      renewal: { incarnation: 1, at: 0 },
      currentAsOf: foreignInstants(worldOf(installation, follower), nowAt(installation, follower))[
        origin
      ],
    });
    t.false(isFresh(installation, follower));
  });

  test(`a confirmation ${origin} makes no learner current`, (t) => {
    const installation = createInstallation(7);
    declare(installation, 'd1', 1);
    installation.runFor(settleMilliseconds);
    isolate(installation, entry);
    // Its relay is still the daemon that it followed; the last sound confirmation is older.
    installation.runFor(relayedMilliseconds);
    const { term, leader, relay, commitIndex } = replicaOf(worldOf(installation, entry));
    receive(installation, entry, relay!, {
      kind: 'entriesFollowed',
      term,
      leader,
      afterIndex: commitIndex,
      entries: [],
      throughIndex: commitIndex,
      isAcknowledgementDue: false,
      askedAt: foreignInstants(worldOf(installation, entry), nowAt(installation, entry))[origin],
      age: 0,
      leaderAbsence: null,
    });
    installation.runFor(freshnessMilliseconds - relayedMilliseconds + 100);
    t.false(isFresh(installation, entry));
  });
});
