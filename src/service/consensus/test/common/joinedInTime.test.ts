/**
 * Guards against a store that never joins although it has the time: stores lose their disks, are
 * replaced, stopped, frozen and cut off one after the other while changes are accepted. A store that
 * is back for `catchUpS` without another fault must be a voter that has joined, as the next disk may
 * be lost then. Logs are small here, so that the time to join does not depend on them.
 */
import test from 'ava';
import type { ValueOf } from '../../../../base/common/handlers.js';
import type { VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { declarationId } from '../../../declaration/common/declarationTables.js';
import { replicaOf } from '../../common/replicaLog.js';
import { ReplicaState } from '../../common/replicaTables.js';
import { leaderOf, worldOf } from '../../../../../standins/virtual/inspection.js';
import { between, createSituation, entry, pick, type Situation } from './changingStores.js';

const settleMilliseconds = 6_000;
/** `catchUpS` and `recoveryS` of the users' requirements. */
const catchUpMilliseconds = 4_600;
const recoveryMilliseconds = 12_000;
const roundCount = 6;
const seeds = [1, 2, 3, 4, 5, 6];

const Fault = {
  Emptied: 'emptied',
  EmptiedForLong: 'emptied for long',
  Replaced: 'replaced',
  ReplacedAtOnce: 'replaced at once',
  Killed: 'killed',
  Frozen: 'frozen',
  CutOff: 'cut off',
  AllKilled: 'all killed',
  EmptiedWhileAnotherIsAway: 'emptied while another is away',
  /** Its disk hangs for seconds, and then completes what was written. */
  DiskHangs: 'left with a hanging disk',
  EmptiedWithSlowDisk: 'emptied, with a slow disk',
  /** It starts, and does nothing for seconds: a long log under a slow processor. */
  SlowToStart: 'killed and slow to start',
  /** It misses changes, and another loses its disk right after it is back. */
  BehindThenOtherEmptied: 'cut off, then another emptied',
} as const;
type Fault = ValueOf<typeof Fault>;

const othersOf = ({ installation }: Situation, name: string): readonly string[] =>
  installation.runningNames().filter((other) => other !== name);

const emptyFor = (situation: Situation, name: string, duration: number): void => {
  situation.loseDisk(name);
  situation.runFor(duration);
  situation.installation.start(name);
};

const cutOff = (situation: Situation, name: string, duration: number): void => {
  const others = othersOf(situation, name);
  others.forEach((other) => situation.installation.cut(name, other));
  situation.runFor(duration);
  others.forEach((other) => situation.installation.heal(name, other));
};

const freeze = (situation: Situation, name: string, duration: number): void => {
  situation.installation.freeze(name);
  situation.runFor(duration);
  situation.installation.thaw(name);
};

/** Carries a fault of a store out, until all are back; returns the time that they then have. */
const faults: Readonly<Record<Fault, (situation: Situation, name: string) => number>> = {
  [Fault.Emptied]: (situation, name) => {
    emptyFor(situation, name, between(situation.random, 100, 1_500));
    return catchUpMilliseconds;
  },
  [Fault.EmptiedForLong]: (situation, name) => {
    emptyFor(situation, name, between(situation.random, 1_500, 8_000));
    return catchUpMilliseconds;
  },
  [Fault.Replaced]: (situation, name) => {
    situation.loseDisk(name);
    situation.stores.delete(name);
    situation.runFor(between(situation.random, 100, 3_000));
    situation.addSuccessor();
    return catchUpMilliseconds;
  },
  [Fault.ReplacedAtOnce]: (situation, name) => {
    situation.loseDisk(name);
    situation.stores.delete(name);
    situation.addSuccessor();
    return catchUpMilliseconds;
  },
  [Fault.Killed]: (situation, name) => {
    situation.installation.stop(name);
    situation.runFor(between(situation.random, 100, 8_000));
    situation.installation.start(name);
    return catchUpMilliseconds;
  },
  [Fault.Frozen]: (situation, name) => {
    freeze(situation, name, between(situation.random, 500, 8_000));
    return catchUpMilliseconds;
  },
  [Fault.CutOff]: (situation, name) => {
    cutOff(situation, name, between(situation.random, 500, 8_000));
    return catchUpMilliseconds;
  },
  [Fault.AllKilled]: (situation) => {
    const { installation, random } = situation;
    const names = installation.runningNames();
    names.forEach((name) => installation.stop(name));
    installation.runFor(between(random, 100, 1_000));
    names.forEach((name) => installation.start(name));
    return recoveryMilliseconds;
  },
  [Fault.EmptiedWhileAnotherIsAway]: (situation, name) => {
    const { random, stores, loseDisk, installation } = situation;
    const other = pick(
      random,
      [...stores].filter((store) => store !== name),
    );
    loseDisk(name);
    situation.runFor(between(random, 100, 1_000));
    installation.start(name);
    situation.runFor(between(random, 0, 3_000));
    pick(random, [freeze, cutOff])(situation, other, between(random, 500, 6_000));
    return recoveryMilliseconds;
  },
  [Fault.DiskHangs]: ({ installation, random, runFor }, name) => {
    const { faults: diskFaults } = installation.disk(name);
    diskFaults.extraSyncDelay = between(random, 1_000, 6_000);
    runFor(between(random, 1_000, 6_000));
    const remaining = diskFaults.extraSyncDelay;
    diskFaults.extraSyncDelay = 0;
    runFor(remaining);
    return catchUpMilliseconds;
  },
  [Fault.EmptiedWithSlowDisk]: (situation, name) => {
    const { faults: diskFaults } = situation.installation.disk(name);
    diskFaults.extraSyncDelay = between(situation.random, 10, 100);
    emptyFor(situation, name, between(situation.random, 100, 1_500));
    situation.runFor(catchUpMilliseconds);
    diskFaults.extraSyncDelay = 0;
    return catchUpMilliseconds;
  },
  [Fault.SlowToStart]: (situation, name) => {
    const { installation, random, runFor } = situation;
    installation.stop(name);
    runFor(between(random, 100, 2_000));
    installation.start(name);
    freeze(situation, name, between(random, 1_000, 8_000));
    return catchUpMilliseconds;
  },
  [Fault.BehindThenOtherEmptied]: (situation, name) => {
    const { random, stores } = situation;
    cutOff(situation, name, between(random, 2_000, 8_000));
    situation.runFor(catchUpMilliseconds);
    const others = [...stores].filter((store) => store !== name);
    emptyFor(situation, pick(random, others), between(random, 100, 1_500));
    return catchUpMilliseconds;
  },
};

const describe = (installation: VirtualInstallation, name: string): string => {
  const { state, term, lastIndex, hasJoined } = replicaOf(worldOf(installation, name));
  return `${name} ${state} term ${term} lastIndex ${lastIndex} hasJoined ${hasJoined}`;
};

const isJoinedVoter = (installation: VirtualInstallation, name: string): boolean => {
  const { state, hasJoined } = replicaOf(worldOf(installation, name));
  return hasJoined && (state === ReplicaState.Follower || state === ReplicaState.Leader);
};

const findFaults = ({ installation, violations, stores }: Situation): readonly string[] => {
  const names = [...stores];
  const isServing =
    leaderOf(installation) !== undefined &&
    names.every((name) => isJoinedVoter(installation, name));
  return [
    ...violations().slice(0, 1),
    ...(isServing ? [] : [names.map((name) => describe(installation, name)).join(', ')]),
  ];
};

/** Returns what is wrong after the first fault from which not all stores have joined. */
const run = (seed: number): readonly string[] => {
  const situation = createSituation(seed);
  const { installation, random, stores } = situation;
  situation.runFor(between(random, 1_000, 6_000));
  const done: string[] = [];
  for (let round = 0; round < roundCount; round += 1) {
    const fault = pick(random, Object.values(Fault));
    const leader = leaderOf(installation);
    const name =
      leader !== undefined && random.nextInteger(2) === 0 ? leader : pick(random, [...stores]);
    done.push(`${name} ${fault}${name === leader ? ' as leader' : ''} at ${installation.now()}`);
    situation.runFor(faults[fault](situation, name));
    const found = findFaults(situation);
    if (found.length > 0) return [`${done.join('; ')}: ${found.join('; ')}`];
  }
  installation.runFor(settleMilliseconds);
  const version = worldOf(installation, entry).declarations.get(declarationId)?.version ?? 0;
  return version >= situation.acknowledgedVersion()
    ? []
    : [`the entry holds ${version} of ${situation.acknowledgedVersion()}`];
};

seeds.forEach((seed) => {
  test.serial(`a store has joined catchUpS after a fault, seed ${seed}`, (t) => {
    t.deepEqual(run(seed), []);
  });
});
