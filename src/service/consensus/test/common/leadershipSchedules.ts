/**
 * Random schedules of cuts, freezes, suspensions, restarts, lost disks, replaced and retired control
 * daemons and steps of clocks, and the promise that they must not break: at no time may two daemons
 * act as leader, and the fencing tokens of those that may never fall and are never shared.
 */
import { asBrand } from '../../../../base/common/brand.js';
import type { ValueOf } from '../../../../base/common/handlers.js';
import { createRandom, type Random } from '../../../../base/common/random.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { createControlHistory } from '../../../../../standins/virtual/controlHistory.js';
import { leaderOf, worldOf } from '../../../../../standins/virtual/inspection.js';
import { createLeadershipHistory } from '../../../../../standins/virtual/leadershipHistory.js';
import type { VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { replicaOf } from '../../common/replicaLog.js';
import { isRetiring } from '../../common/retirement.js';
import { findUnsafeChanges } from './voterSets.js';

const Step = {
  Cut: 'cut',
  Isolate: 'isolate',
  IsolateLeader: 'isolateLeader',
  Heal: 'heal',
  Freeze: 'freeze',
  Thaw: 'thaw',
  Suspend: 'suspend',
  StepClock: 'stepClock',
  CutAndStepClock: 'cutAndStepClock',
  Restart: 'restart',
  LoseDisk: 'loseDisk',
  Replace: 'replace',
  Retire: 'retire',
  LosePower: 'losePower',
} as const;
type Step = ValueOf<typeof Step>;

/** Steps as often as they are drawn. */
const drawnSteps: readonly Step[] = [
  ...Array.from({ length: 3 }, () => Step.Cut),
  ...Array.from({ length: 2 }, () => Step.Isolate),
  ...Array.from({ length: 4 }, () => Step.IsolateLeader),
  ...Array.from({ length: 5 }, () => Step.Heal),
  ...Array.from({ length: 2 }, () => Step.Freeze),
  ...Array.from({ length: 2 }, () => Step.Thaw),
  Step.Suspend,
  ...Array.from({ length: 3 }, () => Step.StepClock),
  ...Array.from({ length: 2 }, () => Step.CutAndStepClock),
  ...Array.from({ length: 2 }, () => Step.Restart),
  Step.LoseDisk,
  Step.Replace,
  Step.Retire,
  Step.LosePower,
];

const daemonCount = 8;
const voterCounts = [3, 5];
const stepsPerSchedule = 50;
const settleMilliseconds = 6_000;
/** Half of the pauses are as short as the rounds of an election, the others as long as its timeouts. */
const shortPauseMilliseconds = 60;
const longPauseMilliseconds = 2_500;
const maximumClockStepMilliseconds = 4_000;
const maximumLatencyMilliseconds = 30;
const proposalMilliseconds = 5_000;

const pick = <Item>(random: Random, items: readonly Item[]): Item =>
  items[random.nextInteger(items.length)]!;

interface Schedule {
  readonly installation: VirtualInstallation;
  readonly random: Random;
  readonly frozen: Set<string>;
  readonly spares: string[];
  readonly emptied: Set<string>;
  readonly violations: () => readonly string[];
}

const openSchedule = (seed: number): Schedule => {
  const random = createRandom(seed);
  let created: VirtualInstallation | undefined;
  const controlHistory = createControlHistory(() => created);
  const leadershipHistory = createLeadershipHistory(() => created);
  const voterCount = pick(random, voterCounts);
  const names = Array.from({ length: daemonCount }, (_, position) => `d${position + 1}`);
  const initialVoters = names.slice(0, voterCount);
  const startedCount = voterCount + random.nextInteger(2);
  const emptied = new Set<string>();
  const installation = createAnnouncedInstallation({
    daemonCount,
    voterCount,
    seed,
    hasOwnClocks: true,
    syncDelay: 2,
    initiallyStopped: names.slice(startedCount),
    latency: () => 1 + random.nextInteger(maximumLatencyMilliseconds),
    voters: (name, incarnation) =>
      initialVoters.includes(name) && incarnation === 1 ? initialVoters : [],
    ports: [controlHistory.createPort, leadershipHistory.createPort],
  });
  created = installation;
  return {
    installation,
    random,
    frozen: new Set(),
    spares: names.slice(startedCount),
    emptied,
    violations: () => [...leadershipHistory.violations(), ...controlHistory.violations()],
  };
};

const drawDaemon = ({ installation, random }: Schedule): string =>
  pick(random, installation.runningNames());

const isolate = ({ installation }: Schedule, name: string): void =>
  installation
    .runningNames()
    .filter((other) => other !== name)
    .forEach((other) => installation.cut(name, other));

const healAll = ({ installation }: Schedule): void =>
  installation.runningNames().forEach((name) =>
    installation
      .runningNames()
      .filter((other) => other > name)
      .forEach((other) => installation.heal(name, other)),
  );

const thaw = ({ installation, frozen }: Schedule, name: string): void => {
  if (frozen.delete(name)) installation.thaw(name);
};

const drawClockStep = (random: Random): number =>
  250 + random.nextInteger(maximumClockStepMilliseconds);

/** Whether a disk may be lost: all voters run and hold what they have acknowledged. */
const canLoseDisk = ({ installation, frozen }: Schedule): boolean => {
  const leader = leaderOf(installation);
  if (leader === undefined || frozen.size > 0) return false;
  const { members, replica } = worldOf(installation, leader);
  const { votersIndex, commitIndex } = [...replica.rows()][0]!;
  const running = installation.runningNames();
  return (
    votersIndex <= commitIndex &&
    [...members.rows()].every(
      ({ id }) => running.includes(id) && replicaOf(worldOf(installation, id)).hasJoined,
    )
  );
};

const stop = ({ installation, frozen }: Schedule, name: string): void => {
  frozen.delete(name);
  installation.stop(name);
};

const startSpare = ({ installation, spares }: Schedule): void => {
  const spare = spares.shift();
  if (spare !== undefined) installation.start(spare);
};

const handlers: Readonly<Record<Step, (schedule: Schedule) => void>> = {
  cut: (schedule) => schedule.installation.cut(drawDaemon(schedule), drawDaemon(schedule)),
  isolate: (schedule) => isolate(schedule, drawDaemon(schedule)),
  isolateLeader: (schedule) =>
    isolate(schedule, leaderOf(schedule.installation) ?? drawDaemon(schedule)),
  heal: healAll,
  freeze: (schedule) => {
    const name = drawDaemon(schedule);
    schedule.frozen.add(name);
    schedule.installation.freeze(name);
  },
  thaw: (schedule) => [...schedule.frozen].forEach((name) => thaw(schedule, name)),
  suspend: (schedule) => {
    const { installation, random, frozen } = schedule;
    const name = drawDaemon(schedule);
    if (frozen.has(name)) return;
    installation.freeze(name);
    const from = installation.clockOf(name);
    installation.runFor(random.nextInteger(longPauseMilliseconds));
    // Its monotonic clock has stood still, and the difference is added at its next reading.
    worldOf(installation, name).clockJumps.append({ from, to: installation.clockOf(name) });
    installation.thaw(name);
  },
  stepClock: (schedule) =>
    schedule.installation.stepClock(drawDaemon(schedule), drawClockStep(schedule.random)),
  cutAndStepClock: (schedule) => {
    const { installation, random } = schedule;
    const leader = leaderOf(installation);
    const name = drawDaemon(schedule);
    if (leader !== undefined && leader !== name) installation.cut(leader, name);
    installation.stepClock(name, drawClockStep(random));
  },
  restart: (schedule) => {
    const name = drawDaemon(schedule);
    stop(schedule, name);
    schedule.installation.runFor(schedule.random.nextInteger(longPauseMilliseconds));
    schedule.installation.start(name);
  },
  loseDisk: (schedule) => {
    if (!canLoseDisk(schedule)) return;
    const name = drawDaemon(schedule);
    stop(schedule, name);
    schedule.installation.disk(name).clear();
    schedule.installation.start(name);
  },
  replace: (schedule) => {
    if (schedule.spares.length === 0 || !canLoseDisk(schedule)) return;
    stop(schedule, drawDaemon(schedule));
    startSpare(schedule);
  },
  retire: (schedule) => {
    const { installation } = schedule;
    const leader = leaderOf(installation);
    if (leader === undefined) return;
    const world = worldOf(installation, leader);
    const daemon = drawDaemon(schedule);
    if (isRetiring(world, asBrand(daemon))) return;
    startSpare(schedule);
    world.proposals.append({
      id: asBrand(`retirement/${daemon}`),
      command: { kind: 'daemonRetired', daemon, label: `vm-${daemon}` },
      proposalDeadline: installation.clockOf(leader) + proposalMilliseconds,
    });
    installation.wake(leader);
  },
  losePower: (schedule) => {
    const { installation, random } = schedule;
    const names = installation.runningNames();
    names.forEach((name) => stop(schedule, name));
    installation.runFor(random.nextInteger(shortPauseMilliseconds));
    names.forEach((name) => installation.start(name));
  },
};

const drawPause = (random: Random): number =>
  random.nextInteger(pick(random, [shortPauseMilliseconds, longPauseMilliseconds]));

const findTermsWithTwoLeaders = ({ installation }: Schedule): string[] => {
  const leaderByTerm = new Map<unknown, string>();
  return installation
    .events()
    .filter(({ kind }) => kind === 'leadershipTaken')
    .flatMap(({ subject, process }) => {
      const earlier = leaderByTerm.get(subject.term) ?? process;
      leaderByTerm.set(subject.term, process);
      return earlier === process ? [] : [`${earlier} and ${process} led in term ${subject.term}`];
    });
};

export interface ScheduleOutcome {
  /** What went wrong, with the seed; empty if nothing did. */
  readonly violations: readonly string[];
  /** Number of daemons that became leader. */
  readonly leaderships: number;
  readonly voterChanges: number;
}

const countEvents = ({ installation }: Schedule, kind: string): number =>
  installation.events().filter((event) => event.kind === kind).length;

/** Plays a schedule. */
export const runLeadershipSchedule = (seed: number): ScheduleOutcome => {
  const schedule = openSchedule(seed);
  const { installation, random } = schedule;
  installation.runFor(settleMilliseconds);
  const steps: Step[] = [];
  for (let count = 0; count < stepsPerSchedule; count += 1) {
    const step = pick(random, drawnSteps);
    steps.push(step);
    handlers[step](schedule);
    installation.runFor(drawPause(random));
  }
  [...schedule.frozen].forEach((name) => thaw(schedule, name));
  healAll(schedule);
  installation.runFor(settleMilliseconds);
  const faults = [
    ...schedule.violations(),
    ...findTermsWithTwoLeaders(schedule),
    ...installation
      .runningNames()
      .flatMap((name) => findUnsafeChanges(worldOf(installation, name))),
  ];
  return {
    violations: faults.slice(0, 3).map((fault) => `seed ${seed} (${steps.join(' ')}): ${fault}`),
    leaderships: countEvents(schedule, 'leadershipTaken'),
    voterChanges: countEvents(schedule, 'votersChanging'),
  };
};
