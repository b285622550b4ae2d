/**
 * Daemons with the production systems of calls and cold upstreams, on virtual time in small steps,
 * for schedules of faults. Leadership, reports and the network are simulated, so that thousands of
 * schedules run in seconds; `coldInstallation.test.ts` covers complete daemons.
 */
import { asBrand } from '../../../../base/common/brand.js';
import type { Random } from '../../../../base/common/random.js';
import { never, type Instant, type Milliseconds } from '../../../../base/common/time.js';
import { noopMetrics } from '../../../../infrastructure/metrics/common/metrics.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { createTicker, type Ticker } from '../../../../infrastructure/tables/common/tick.js';
import { testDeclaration, testEngine } from '../../../../../standins/virtual/fleetFixture.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import { replicaOf } from '../../../consensus/common/replicaLog.js';
import { insertReplica } from '../../../consensus/common/replicaSystem.js';
import { ReplicaState, type ReplicaRow } from '../../../consensus/common/replicaTables.js';
import { declarationId } from '../../../declaration/common/declarationTables.js';
import { createSendSystem } from '../../../forwarding/common/sendSystem.js';
import {
  CallState,
  SendState,
  type CallId,
  type CallRow,
} from '../../../forwarding/common/forwardingTables.js';
import { insertDaemons } from '../../../membership/common/daemonRows.js';
import { createInboxSystem } from '../../../messages/common/inboxSystem.js';
import type { Message } from '../../../messages/common/message.js';
import { createRegistrySystem } from '../../../registry/common/registrySystem.js';
import type { Registration } from '../../../registry/common/registryTables.js';
import type { DaemonId } from '../../../world/common/identifiers.js';
import { createWorld, type World } from '../../../world/common/world.js';
import type { ColdLimits } from '../../common/coldBudget.js';
import { createColdSystem } from '../../common/coldSystem.js';

const service = 'planner';
/** Longest delay of messages and reports, except those that wait for a frozen daemon. */
const maximumDelay: Milliseconds = 120;
const callMilliseconds: Milliseconds = 300;

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
  frozenUntil: Instant;
  cutUntil: Instant;
  held: Transit[];
  /** Duration of the freeze before its next write; 0 for none. */
  freezeBeforeWrite: Milliseconds;
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

const waitingCall = (id: string, now: Instant): CallRow => ({
  id: asBrand<CallId>(id),
  requestId: id,
  workspace: null,
  fingerprint: null,
  route: 'r',
  service,
  state: CallState.Waiting,
  arrivedAt: now,
  isInternal: false,
  urgency: [],
  isIdempotent: false,
  isResumable: false,
  continuation: null,
  softwareVersion: null,
  locationDeadline: never,
  maximumAttempts: 1,
  attempts: 0,
  failureCount: 0,
  brokenUpstreams: [],
  triedUpstreams: [],
  offerDeadline: never,
  silenceMilliseconds: never,
  callDeadline: now + callMilliseconds,
  backoffDeadline: Number.NEGATIVE_INFINITY,
  answer: null,
  refusal: null,
  retentionDeadline: never,
});

/** Creates daemons that know their declaration and no upstream. */
export const createColdFleet = (options: ColdFleetOptions): ColdFleet => {
  const { random, limits, mutation } = options;
  const deployment = createTestDeployment(options.daemons, options.daemons);
  const tree = createTestTree();
  const { requestsPerSecond, ...coldLimit } = limits;
  const declaration = testDeclaration();
  const coldStart = { milliseconds: options.coldMilliseconds, requestsPerSecond };
  const declared = {
    ...declaration,
    services: declaration.services.map((row) => ({ ...row, coldStart })),
  };
  const transits: Transit[] = [];
  const sendInstants: Instant[] = [];
  let now: Instant = 0;
  let callCount = 0;

  const createProcess = (index: number, incarnation: number): Process => {
    const { places } = defaultFleetSettings;
    const world = createWorld({
      deployment,
      self: deployment.daemons[index]!,
      tree,
      incarnation,
      random,
      metrics: noopMetrics,
      fleet: { ...defaultFleetSettings, places: { ...places, coldLimit } },
    });
    insertDaemons(world, now);
    insertReplica(world, now);
    world.replica.change(replicaOf(world).id, { state: ReplicaState.Follower });
    world.declarations.put({
      id: declarationId,
      version: 1,
      digest: 'd',
      document: '',
      declaration: declared,
    } as never);
    const systems = [
      createInboxSystem,
      createRegistrySystem,
      createSendSystem,
      createColdSystem,
    ].map((create) => create(world));
    // Only the tables that these systems change: the ticker looks at each of them in every round.
    const tables = [
      world.incomingMessages,
      world.arrivedRegistrations,
      world.registrations,
      world.calls,
      world.sends,
      world.declarations,
      world.coldStates,
      world.coldZones,
      world.coldPermits,
      world.coldRequests,
      world.coldBudgets,
      world.coldLeaderships,
      world.coldDemands,
    ];
    const ticker = createTicker(tables, systems);
    return {
      world,
      ticker,
      incarnation,
      frozenUntil: 0,
      cutUntil: 0,
      held: [],
      freezeBeforeWrite: 0,
      unwritten: [],
    };
  };

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

  const sendMessages = ({ world, cutUntil }: Process): void =>
    world.outgoingMessages.takeAll().forEach(({ to, message }) => {
      if (!message.kind.startsWith('cold') || cutUntil > now) return;
      const copies =
        Number(!isChance(options.lossPercent)) + Number(isChance(options.doublePercent));
      const index = deployment.daemons.findIndex(({ name }) => name === (to as string));
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
    const { world } = process;
    const outcome = process.ticker.tick(now);
    if (outcome.isErr()) throw new Error(outcome.error.message);
    world.events.takeAll();
    mutation.onDidTick?.(world, now);
    const sends = takeSends(world);
    if (sends.length > 0 && process.freezeBeforeWrite > 0) {
      process.unwritten.push(...sends);
      process.frozenUntil = now + process.freezeBeforeWrite;
      process.freezeBeforeWrite = 0;
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
    if (process.frozenUntil > now) {
      process.held.push(...arrived);
      return;
    }
    write(process.unwritten.splice(0));
    expireCalls(process);
    // What arrived while the daemon was frozen is read in parts, with a tick after each.
    while (process.held.length > 0 && process.frozenUntil <= now) {
      deliver(process, process.held.shift()!);
      tick(process);
    }
    if (process.frozenUntil > now) {
      process.held.push(...arrived);
      return;
    }
    if (process.cutUntil <= now) arrived.forEach((transit) => deliver(process, transit));
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
        processes[daemon]!.world.calls.put(waitingCall(`c${callCount}`, now));
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
      processes[daemon]!.frozenUntil = now + duration;
    },
    freezeBeforeWrite: (daemon, duration) => {
      processes[daemon]!.freezeBeforeWrite = duration;
    },
    cut: (daemon, duration) => {
      processes[daemon]!.cutUntil = now + duration;
    },
    restart: (daemon) => {
      const { incarnation } = processes[daemon]!;
      processes[daemon] = createProcess(daemon, incarnation + 1);
    },
    sendInstants: () => sendInstants,
  };
};
