/**
 * Steps of schedules from the first instant of an installation on: lost disks, successors at other
 * addresses, power losses, freezes, cut links, lost messages and slow disks. As in the product, the
 * initial voters are stored on the disk of a voter. At most one disk is lost at a time.
 */
import { asBrand } from '../../../src/base/common/brand.js';
import type { HandlerTable } from '../../../src/base/common/handlers.js';
import { createRandom } from '../../../src/base/common/random.js';
import type { Instant } from '../../../src/base/common/time.js';
import { createAnnouncedInstallation } from '../announcedInstallation.js';
import { createControlHistory } from '../controlHistory.js';
import { testDeclarationCommand } from '../fleetFixture.js';
import { type VirtualInstallation } from '../virtualInstallation.js';

const initialVoters = ['d1', 'd2', 'd3'];
/** Daemons that start while another is gone for good, in this order. */
const successors = ['d4', 'd5', 'd6', 'd7'];
const names = [...initialVoters, ...successors];
/** `catchUpS` of the users' requirements: a daemon without its disk counts as lost for this time. */
const catchUpMilliseconds = 4_600;
/** Time within which a change must be accepted once a leader is there. */
export const proposalMilliseconds = 6_000;
const maximumStartDelayMilliseconds = 900;

interface StepFields {
  readonly at: number;
  readonly other: number;
  readonly milliseconds: number;
}

export type StepKind =
  | 'run'
  | 'declare'
  | 'restart'
  | 'freeze'
  | 'cut'
  | 'isolate'
  | 'loseMessages'
  | 'slowDisk'
  | 'wipe'
  | 'replace'
  | 'losePower'
  | 'losePowerAndDisk';

export type Step = { [Kind in StepKind]: StepFields & { readonly kind: Kind } }[StepKind];

/** Largest number by which a step selects a daemon or a degree. */
export const maximumPosition = 59;

/** Starts the initial voters; the successors have not been started. */
export const createRun = (seed: number) => {
  const random = createRandom(seed);
  const withDisk = new Set(initialVoters);
  let lostPercentage = 0;
  let faultDeadline: Instant = Number.NEGATIVE_INFINITY;
  let lossDeadline: Instant = Number.NEGATIVE_INFINITY;
  let created: VirtualInstallation | undefined;
  const history = createControlHistory(() => created);
  const installation = createAnnouncedInstallation({
    daemonCount: names.length,
    voterCount: initialVoters.length,
    seed,
    initiallyStopped: successors,
    voters: (name) => (withDisk.has(name) ? initialVoters : []),
    latency: () => 1 + random.nextInteger(random.nextInteger(20) === 0 ? 200 : 20),
    syncDelay: 2,
    isLost: () => random.nextInteger(100) < lostPercentage,
    ports: [history.createPort],
  });
  created = installation;

  const canLoseDisk = (): boolean => installation.now() >= lossDeadline;

  const expectCatchUp = (): void => {
    const backAt = Math.max(installation.now(), faultDeadline);
    lossDeadline = Math.max(lossDeadline, backAt + catchUpMilliseconds);
  };

  return {
    installation,
    history,
    random,
    /** Initial voters whose disk is the one of the first start. */
    withDisk,
    /** Daemons that are in use; one that is gone for good is replaced by its successor. */
    inUse: [...initialVoters],
    unused: [...successors],
    setLostPercentage: (percentage: number): void => {
      lostPercentage = percentage;
    },
    /** Whether a disk can be lost now without a second one being lost at the same time. */
    canLoseDisk,
    /** Counts a disk as lost until its daemon could catch up, starting when it is back. */
    expectCatchUp,
    /** Notes a fault that loses no disk. A daemon that catches up meanwhile gets its time after it. */
    expectFault: (milliseconds: number): void => {
      faultDeadline = Math.max(faultDeadline, installation.now() + milliseconds);
      if (!canLoseDisk()) expectCatchUp();
    },
  };
};
export type Run = ReturnType<typeof createRun>;

const nameAt = ({ inUse }: Run, at: number): string => inUse[at % inUse.length]!;

const clearDisk = ({ installation, withDisk }: Run, name: string): void => {
  installation.disk(name).clear();
  withDisk.delete(name);
};

/** Begins a fault that ends by itself while the schedule goes on. */
const runFault = (run: Run, milliseconds: number, begin: () => void, end: () => void): void => {
  run.expectFault(milliseconds);
  begin();
  run.installation.schedule(milliseconds, end);
};

const startAfter = (run: Run, name: string, milliseconds: number): void => {
  run.installation.runFor(milliseconds);
  run.installation.start(name);
  run.expectCatchUp();
};

/** Stops all daemons together, and starts them one after another. */
export const losePower = (run: Run, lostDisk: string | null): void => {
  run.inUse.forEach((name) => run.installation.stop(name));
  if (lostDisk !== null) clearDisk(run, lostDisk);
  run.inUse.forEach((name) => {
    run.installation.start(name);
    run.installation.runFor(run.random.nextInteger(maximumStartDelayMilliseconds));
  });
  run.expectFault(0);
  if (lostDisk !== null) run.expectCatchUp();
};

const cutFrom = (run: Run, name: string, others: string[], milliseconds: number): void =>
  runFault(
    run,
    milliseconds,
    () => others.forEach((other) => run.installation.cut(name, other)),
    () => others.forEach((other) => run.installation.heal(name, other)),
  );

const maximumSyncDelayMilliseconds = 400;
const maximumLostPercentage = 30;

/** What each step does to a run. */
export const stepHandlers: HandlerTable<Step, void, [Run, number]> = {
  run: ({ milliseconds }, { installation }) => installation.runFor(milliseconds),
  declare: ({ at }, run, count) => {
    const name = nameAt(run, at);
    run.installation.daemon(name).core.world.proposals.append({
      id: asBrand(`declare-${count}`),
      command: testDeclarationCommand(count + 1),
      proposalDeadline: run.installation.now() + proposalMilliseconds,
    });
    run.installation.wake(name);
  },
  restart: ({ at, milliseconds }, run) => {
    const name = nameAt(run, at);
    run.expectFault(milliseconds);
    run.installation.stop(name);
    run.installation.runFor(milliseconds);
    run.installation.start(name);
  },
  freeze: ({ at, milliseconds }, run) => {
    const name = nameAt(run, at);
    const freeze = () => run.installation.freeze(name);
    runFault(run, milliseconds, freeze, () => run.installation.thaw(name));
  },
  cut: ({ at, other, milliseconds }, run) => {
    const [name, otherName] = [nameAt(run, at), nameAt(run, other)];
    cutFrom(run, name, name === otherName ? [] : [otherName], milliseconds);
  },
  isolate: ({ at, milliseconds }, run) => {
    const name = nameAt(run, at);
    const others = run.inUse.filter((inUse) => inUse !== name);
    cutFrom(run, name, others, milliseconds);
  },
  loseMessages: ({ at, milliseconds }, run) => {
    const begin = () => run.setLostPercentage(at % maximumLostPercentage);
    runFault(run, milliseconds, begin, () => run.setLostPercentage(0));
  },
  slowDisk: ({ at, other, milliseconds }, run) => {
    const { faults } = run.installation.disk(nameAt(run, at));
    const begin = () => {
      faults.extraSyncDelay = (other * maximumSyncDelayMilliseconds) / maximumPosition;
    };
    runFault(run, milliseconds, begin, () => {
      faults.extraSyncDelay = 0;
    });
  },
  wipe: ({ at, milliseconds }, run) => {
    if (!run.canLoseDisk()) return;
    const name = nameAt(run, at);
    run.installation.stop(name);
    clearDisk(run, name);
    startAfter(run, name, milliseconds);
  },
  replace: ({ at, milliseconds }, run) => {
    if (!run.canLoseDisk()) return;
    const successor = run.unused.shift();
    if (successor === undefined) return;
    const name = nameAt(run, at);
    run.installation.stop(name);
    clearDisk(run, name);
    run.inUse.splice(run.inUse.indexOf(name), 1, successor);
    startAfter(run, successor, milliseconds);
  },
  losePower: (_step, run) => losePower(run, null),
  losePowerAndDisk: ({ at }, run) => losePower(run, run.canLoseDisk() ? nameAt(run, at) : null),
};

/** Ends all faults that have not ended by themselves. */
export const endFaults = (run: Run): void => {
  run.setLostPercentage(0);
  names.forEach((name) => {
    const { faults } = run.installation.disk(name);
    faults.extraSyncDelay = 0;
    run.installation.thaw(name);
    names.forEach((other) => run.installation.heal(name, other));
  });
};
