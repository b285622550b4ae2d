/**
 * Guards against an installation without a leader after a second disk is lost `catchUpS` after the
 * first one. That is allowed at any time of the day, so what a store needs in order to join must not
 * grow with the log. Links have a bandwidth here, as the time to join depends on it.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { ValueOf } from '../../../../base/common/handlers.js';
import { leaderOf, versionAt, worldOf } from '../../../../../standins/virtual/inspection.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { createControlHistory } from '../../../../../standins/virtual/controlHistory.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import type { VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { freshnessMilliseconds } from '../../common/consensusTiming.js';
import { replicaOf } from '../../common/replicaLog.js';

const stores = ['d1', 'd2', 'd3'];
const entry = 'd4';
const all = [...stores, entry, 'd5'];

const settleMilliseconds = 6_000;
const changeMilliseconds = 150;
/** `recoveryS` and `catchUpS` of the users' requirements. */
const recoveryMilliseconds = 12_000;
const catchUpMilliseconds = 4_600;
const absenceMilliseconds = 1_000;
const latencyMilliseconds = 2;
/** Real processes took in some 7 MB/s with a core each; the sites give them two thirds of one. */
const bandwidth = 4_000_000;

/** Logs by their name: number of changes, bytes of each, and the seeds of their runs. */
const logs = {
  '20 KB': { changeCount: 10, documentBytes: 2_000, seeds: [1, 2] },
  '2 MB': { changeCount: 20, documentBytes: 100_000, seeds: [3] },
  '20 MB': { changeCount: 100, documentBytes: 200_000, seeds: [1, 2] },
  '40 MB': { changeCount: 200, documentBytes: 200_000, seeds: [3] },
} as const;
type LogName = keyof typeof logs;

/** What the second disk is lost with. */
const SecondLoss = {
  Leader: "the leader's",
  Follower: "a follower's",
  FollowerAndPower: "a follower's, and the power of all",
  /** The first store keeps running, and feeds the emptied leader what it has. */
  LeaderAndKill: "the leader's, and the process of the third store",
} as const;
type SecondLoss = ValueOf<typeof SecondLoss>;

interface Situation {
  readonly installation: VirtualInstallation;
  readonly violations: () => readonly string[];
  /** Highest version that was acknowledged to the proposer. */
  readonly acknowledgedVersion: () => number;
  readonly loseDisk: (name: string) => void;
}

const proposalOf = (version: number): string => `declare-${version}`;

const createSituation = (seed: number): Situation => {
  let created: VirtualInstallation | undefined;
  const history = createControlHistory(() => created);
  const emptied = new Set<string>();
  const installation = createAnnouncedInstallation({
    daemonCount: all.length,
    controlCount: stores.length,
    voterCount: stores.length,
    seed,
    // The first start stores the voters; a disk that was lost has none.
    voters: (name) => (stores.includes(name) && !emptied.has(name) ? stores : []),
    latency: () => latencyMilliseconds,
    bandwidth,
    ports: [history.createPort],
  });
  created = installation;
  installation.runFor(settleMilliseconds);
  return {
    installation,
    violations: history.violations,
    acknowledgedVersion: () =>
      Math.max(
        0,
        ...[...history.accepted()].map((id) => Number(/^declare-(\d+)$/.exec(id)?.[1]) || 0),
      ),
    loseDisk: (name) => {
      installation.stop(name);
      installation.disk(name).clear();
      emptied.add(name);
    },
  };
};

const declareAll = (
  installation: VirtualInstallation,
  { changeCount, documentBytes }: (typeof logs)[LogName],
): void => {
  for (let version = 1; version <= changeCount; version += 1) {
    worldOf(installation, entry).proposals.append({
      id: asBrand(proposalOf(version)),
      command: {
        ...testDeclarationCommand(version),
        document: `${version} `.padEnd(documentBytes, 'x'),
      },
      proposalDeadline: installation.now() + settleMilliseconds,
    });
    installation.wake(entry);
    installation.runFor(changeMilliseconds);
  }
  installation.runFor(settleMilliseconds);
};

/** Returns the stores that the second loss can hit: they have not lost a disk yet. */
const followersOf = (installation: VirtualInstallation, first: string): readonly string[] =>
  stores.filter((name) => name !== first && name !== leaderOf(installation));

/** Loses the second disk, and returns the daemons that are away with it. */
const secondLosses: Readonly<
  Record<SecondLoss, (situation: Situation, first: string) => readonly string[]>
> = {
  [SecondLoss.Leader]: ({ installation, loseDisk }) => {
    const leader = leaderOf(installation)!;
    loseDisk(leader);
    return [leader];
  },
  [SecondLoss.Follower]: ({ installation, loseDisk }, first) => {
    const [follower] = followersOf(installation, first);
    loseDisk(follower!);
    return [follower!];
  },
  [SecondLoss.FollowerAndPower]: ({ installation, loseDisk }, first) => {
    const [follower] = followersOf(installation, first);
    loseDisk(follower!);
    all.filter((name) => name !== follower).forEach((name) => installation.stop(name));
    return all;
  },
  [SecondLoss.LeaderAndKill]: ({ installation, loseDisk }, first) => {
    const leader = leaderOf(installation)!;
    const [third] = followersOf(installation, first);
    loseDisk(leader);
    installation.stop(third!);
    return [leader, third!];
  },
};

const describeStores = (installation: VirtualInstallation): string =>
  stores
    .map((name) => {
      const { state, term, lastIndex, hasJoined } = replicaOf(worldOf(installation, name));
      return `${name} ${state} term ${term} lastIndex ${lastIndex} hasJoined ${hasJoined}`;
    })
    .join(', ');

/** Returns what is wrong `recoveryS` after the second loss; empty if the installation serves. */
const findFaults = (
  { installation, violations, acknowledgedVersion }: Situation,
  joinedBefore: string,
): readonly string[] => {
  const version = versionAt(installation, entry);
  const age = installation.now() - replicaOf(worldOf(installation, entry)).currentAsOf;
  return [
    ...violations().slice(0, 1),
    ...(leaderOf(installation) === undefined
      ? [`no leader: at the second loss ${joinedBefore}; now ${describeStores(installation)}`]
      : []),
    ...(version < acknowledgedVersion()
      ? [`the entry holds ${version} of ${acknowledgedVersion()}`]
      : []),
    ...(age < freshnessMilliseconds ? [] : [`the entry was current ${age} ms ago`]),
  ];
};

const run = (logName: LogName, loss: SecondLoss, seed: number): readonly string[] => {
  const situation = createSituation(seed);
  const { installation, loseDisk, acknowledgedVersion } = situation;
  const log = logs[logName];
  declareAll(installation, log);
  if (acknowledgedVersion() !== log.changeCount) return ['the changes were not acknowledged'];
  const first = followersOf(installation, '')[seed % 2]!;
  loseDisk(first);
  installation.runFor(absenceMilliseconds);
  installation.start(first);
  installation.runFor(catchUpMilliseconds);
  const joinedBefore = describeStores(installation);
  const away = secondLosses[loss](situation, first);
  installation.runFor(absenceMilliseconds);
  away.forEach((name) => installation.start(name));
  installation.runFor(recoveryMilliseconds);
  return findFaults(situation, joinedBefore);
};

(Object.keys(logs) as LogName[]).forEach((logName) =>
  Object.values(SecondLoss).forEach((loss) =>
    logs[logName].seeds.forEach((seed) => {
      // One after the other: the runner hears of a result as soon as there is one.
      test.serial(
        `an installation has a leader after a second disk, ${loss}, is lost catchUpS after the first, with a log of ${logName}, seed ${seed}`,
        (t) => {
          t.deepEqual(run(logName, loss, seed), []);
        },
      );
    }),
  ),
);
