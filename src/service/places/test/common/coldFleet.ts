/**
 * Daemons with the production systems of calls and cold upstreams, on virtual time in small steps,
 * for schedules of faults. Leadership, reports and the network are simulated, so that thousands of
 * schedules run in seconds; `coldInstallation.test.ts` covers complete daemons.
 */
import { asBrand } from '../../../../base/common/brand.js';
import type { Random } from '../../../../base/common/random.js';
import { type Instant, type Milliseconds } from '../../../../base/common/time.js';
import { type Ticker } from '../../../../infrastructure/tables/common/tick.js';
import { testEngine } from '../../../../../standins/virtual/fleetFixture.js';
import { createTestDeployment } from '../../../../../standins/virtual/testDeployment.js';
import { replicaOf } from '../../../consensus/common/replicaLog.js';
import { ReplicaState, type ReplicaRow } from '../../../consensus/common/replicaTables.js';
import { SendState } from '../../../forwarding/common/forwardingTables.js';
import type { Message } from '../../../messages/common/message.js';
import type { Registration } from '../../../registry/common/registryTables.js';
import type { DaemonId } from '../../../world/common/identifiers.js';
import { type World } from '../../../world/common/world.js';
import type { ColdLimits } from '../../common/coldBudget.js';
import { createColdProcess, createWaitingCall } from './coldProcess.js';

/** Longest delay of messages and reports, except those that wait for a frozen daemon. */
const maximumDelay: Milliseconds = 120;

/** A defect that a schedule is run with, by the effect that it has on the rows. */
export interface Mutation {
  readonly onDidTick?: (world: World, now: Instant) => void;
  /** Whether the port leaves out its check of the permit. */
  readonly hasUncheckedPort?: boolean;
}

interface Transit {
  readonly at: Instant;
  readonly to: number;
  readonly from: string;
  readonly message: Message | null;
  readonly registration: Registration | null;
}

interface Process {
  world: World;
  ticker: Ticker;
  incarnation: number;
  readonly faults: {
    frozenUntil: Instant;
    cutUntil: Instant;
    /** Duration of the freeze before its next write; 0 for none. */
    freezeBeforeWrite: Milliseconds;
  };
  readonly held: Transit[];
  /** Sends that are decided but not written, because the daemon froze in between. */
  unwritten: { readonly permitDeadline: Instant }[];
}

/** The daemons `d1`, `d2`, …; the first `voters` can lead. */
export interface ColdFleet {
  readonly now: () => Instant;
  readonly worldOf: (daemon: number) => World;
  readonly step: (duration: Milliseconds) => void;
  readonly addCalls: (daemon: number, count: number) => void;
  /** Sends a report to all daemons, each after its own delay; some are lost. */
  readonly report: (columns: Partial<Registration>) => void;
  readonly lead: (daemon: number, term: number, until: Instant) => void;
  readonly freeze: (daemon: number, duration: Milliseconds) => void;
  /** Freezes a daemon between its next decision to send requests and their write. */
  readonly freezeBeforeWrite: (daemon: number, duration: Milliseconds) => void;
  readonly cut: (daemon: number, duration: Milliseconds) => void;
  readonly restart: (daemon: number) => void;
  /** Times at which requests were written to the upstream. */
  readonly sendInstants: () => readonly Instant[];
}

export interface ColdFleetOptions {
  readonly daemons: number;
  readonly limits: ColdLimits;
  readonly coldMilliseconds: Milliseconds;
  readonly random: Random;
  /** Of each message, in per cent. */
  readonly lossPercent: number;
  readonly doublePercent: number;
  readonly mutation: Mutation;
}

const leaderColumns = (term: number, leaseDeadline: Instant): Partial<ReplicaRow> => ({
  state: ReplicaState.Leader,
  term,
  leaseDeadline,
  leadershipIndex: 0,
  deliveredIndex: 0,
});

/** Creates daemons that know their declaration and no upstream. */
export const createColdFleet = (options: ColdFleetOptions): ColdFleet => {
  const { random, limits, mutation } = options;
  const deployment = createTestDeployment(options.daemons, options.daemons);
  const coldStart = {
    milliseconds: options.coldMilliseconds,
    requestsPerSecond: limits.requestsPerSecond,
  };
  const transits: Transit[] = [];
  const sendInstants: Instant[] = [];
  let now: Instant = 0;
  let callCount = 0;

  const createProcess = (index: number, incarnation: number): Process => ({
    ...createColdProcess({ deployment, index, incarnation, limits, coldStart, random, now }),
    incarnation,
    faults: { frozenUntil: 0, cutUntil: 0, freezeBeforeWrite: 0 },
    held: [],
    unwritten: [],
  });

  const processes = deployment.daemons.map((_, index) => createProcess(index, 1));
  const isChance = (percent: number): boolean => random.nextInteger(100) < percent;
  const delay = (): Milliseconds => 1 + random.nextInteger(maximumDelay);

  const write = (sends: readonly { readonly permitDeadline: Instant }[]): void =>
    sends
      .filter(({ permitDeadline }) => mutation.hasUncheckedPort === true || now < permitDeadline)
      .forEach(() => sendInstants.push(now));

  const takeSends = (world: World): { readonly permitDeadline: Instant }[] => {
    const running = [...world.sends.rows()].filter(({ state }) => state === SendState.Running);
    running.forEach((send) => {
      world.sends.remove(send.id);
      world.calls.remove(send.call);
      world.registrations.change(send.upstream, { ownRunning: 0 });
    });
    return running;
  };

  const sendMessages = ({ world, faults }: Process): void =>
    world.outgoingMessages.takeAll().forEach(({ to, message }) => {
      if (!message.kind.startsWith('cold') || faults.cutUntil > now) return;
      const copies =
        Number(!isChance(options.lossPercent)) + Number(isChance(options.doublePercent));
      const index = deployment.daemons.findIndex(({ name }) => name === to);
      for (let copy = 0; copy < copies; copy += 1)
        transits.push({
          at: now + delay(),
          to: index,
          from: world.self.name,
          message,
          registration: null,
        });
    });

  const tick = (process: Process): void => {
    const { world, faults } = process;
    const outcome = process.ticker.tick(now);
    if (outcome.isErr()) throw new Error(outcome.error.message);
    world.events.takeAll();
    mutation.onDidTick?.(world, now);
    const sends = takeSends(world);
    if (sends.length > 0 && faults.freezeBeforeWrite > 0) {
      process.unwritten.push(...sends);
      faults.frozenUntil = now + faults.freezeBeforeWrite;
      faults.freezeBeforeWrite = 0;
    } else write(sends);
    sendMessages(process);
  };

  const deliver = (process: Process, { from, message, registration }: Transit): void => {
    if (message !== null)
      process.world.incomingMessages.append({ from: asBrand<DaemonId>(from), message });
    if (registration !== null)
      process.world.arrivedRegistrations.append({ registration, isDirect: false });
  };

  const expireCalls = ({ world }: Process): void =>
    [...world.calls.rows()]
      .filter(({ callDeadline }) => callDeadline <= now)
      .forEach(({ id }) => world.calls.remove(id));

  const runProcess = (process: Process, arrived: readonly Transit[]): void => {
    if (process.faults.frozenUntil > now) {
      process.held.push(...arrived);
      return;
    }
    write(process.unwritten.splice(0));
    expireCalls(process);
    // What arrived while the daemon was frozen is read in parts, with a tick after each.
    while (process.held.length > 0 && process.faults.frozenUntil <= now) {
      deliver(process, process.held.shift()!);
      tick(process);
    }
    if (process.faults.frozenUntil > now) {
      process.held.push(...arrived);
      return;
    }
    if (process.faults.cutUntil <= now) arrived.forEach((transit) => deliver(process, transit));
    tick(process);
  };

  return {
    now: () => now,
    worldOf: (daemon) => processes[daemon]!.world,
    step: (duration) => {
      now += duration;
      const due = transits.filter(({ at }) => at <= now);
      transits.splice(0, transits.length, ...transits.filter(({ at }) => at > now));
      processes.forEach((process, index) =>
        runProcess(
          process,
          due.filter(({ to }) => to === index),
        ),
      );
    },
    addCalls: (daemon, count) => {
      for (let call = 0; call < count; call += 1) {
        callCount += 1;
        processes[daemon]!.world.calls.put(createWaitingCall(`c${callCount}`, now));
      }
    },
    report: (columns) =>
      processes.forEach((_, to) => {
        if (isChance(options.lossPercent)) return;
        const registration = testEngine('e1', { slots: 1_000, ...columns });
        const at = now + delay();
        transits.push({ at, to, from: '', message: null, registration });
      }),
    lead: (daemon, term, until) =>
      processes.forEach(({ world }, index) => {
        const columns =
          index === daemon
            ? leaderColumns(term, until)
            : { state: ReplicaState.Follower, term, leaseDeadline: Number.NEGATIVE_INFINITY };
        const isStale = index !== daemon && isChance(20);
        const leader = asBrand<DaemonId>(deployment.daemons[daemon]!.name);
        if (!isStale) world.replica.change(replicaOf(world).id, { ...columns, leader });
      }),
    freeze: (daemon, duration) => {
      processes[daemon]!.faults.frozenUntil = now + duration;
    },
    freezeBeforeWrite: (daemon, duration) => {
      processes[daemon]!.faults.freezeBeforeWrite = duration;
    },
    cut: (daemon, duration) => {
      processes[daemon]!.faults.cutUntil = now + duration;
    },
    restart: (daemon) => {
      const { incarnation } = processes[daemon]!;
      processes[daemon] = createProcess(daemon, incarnation + 1);
    },
    sendInstants: () => sendInstants,
  };
};
