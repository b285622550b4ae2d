/**
 * Workers of a declared service on virtual time, shared by all daemons of an installation. A worker
 * process may end under a request: its sends break, its address refuses connections, and after a
 * while a new process with a new identifier registers at the address.
 */
import { asBrand } from '../../src/base/common/brand.js';
import type { ValueOf } from '../../src/base/common/handlers.js';
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import { RowReader } from '../../src/infrastructure/tables/common/rowReader.js';
import {
  SendState,
  type CallId,
  type CallRow,
  type SendFact,
  type SendId,
  type SendRow,
} from '../../src/service/forwarding/common/forwardingTables.js';
import type { Registration } from '../../src/service/registry/common/registryTables.js';
import { testEngine } from './fleetFixture.js';
import { createVirtualProbePort, type VirtualProbe } from './virtualProbes.js';
import type { VirtualContext, VirtualInstallation, VirtualPort } from './virtualInstallation.js';

/** What a worker does with a call. */
export const WorkerOutcome = {
  Answer: 'answer',
  /** The process ends, and all that it runs breaks. */
  End: 'end',
  /** The connection is cut, and the process lives on. */
  Cut: 'cut',
} as const;
export type WorkerOutcome = ValueOf<typeof WorkerOutcome>;

/** A call that a worker process began to run. */
export interface WorkerRun {
  readonly at: Instant;
  readonly worker: string;
  readonly daemon: string;
  readonly requestId: string;
}

/** The end of a worker process, with the call under which it ended. */
export interface WorkerEnd {
  readonly at: Instant;
  readonly worker: string;
  readonly requestId: string;
}

interface RunningSend {
  readonly send: SendId;
  readonly report: (fact: SendFact) => void;
}

interface WorkerProcess {
  readonly registration: Registration;
  readonly isRunning: boolean;
  readonly sends: Map<SendId, RunningSend>;
}

export interface VirtualWorkers {
  readonly createPort: (context: VirtualContext) => VirtualPort;
  /** Starts the reports of the workers to the control daemons with these names. */
  readonly start: (installation: VirtualInstallation, controlDaemons: readonly string[]) => void;
  /** Announces the departure of all processes that run, which go on serving. */
  readonly announceDepartures: (installation: VirtualInstallation, to: string) => void;
  readonly setOutcomeSelector: (select: (requestId: string) => WorkerOutcome) => void;
  readonly runs: () => readonly WorkerRun[];
  readonly ends: () => readonly WorkerEnd[];
  readonly probes: () => readonly VirtualProbe[];
}

const reportIntervalMilliseconds: Milliseconds = 1_200;
const defaultRunMilliseconds: Milliseconds = 20;
const defaultReturnMilliseconds: Milliseconds = 3_000;
const connectMilliseconds: Milliseconds = 1;
const slots = 8;

/** Submits a call to a daemon. */
export const submitCall = (
  installation: VirtualInstallation,
  daemon: string,
  requestId: string,
  digest: string,
): void => {
  installation.daemon(daemon).core.world.arrivedCalls.append({
    id: asBrand<CallId>(requestId),
    requestId,
    host: 'yard.example',
    path: '/book/slot',
    key: 'key-1',
    digest,
    remaining: 3_000,
    isInternal: false,
    urgency: [],
    takesUp: null,
  });
  installation.wake(daemon);
};

/** How long the workers take. */
export interface WorkerTiming {
  /** Time that a worker takes for a call, whether it answers or ends. */
  readonly runMilliseconds?: Milliseconds | undefined;
  /** Time from the end of a process to the start of the next one at its address. */
  readonly returnMilliseconds?: Milliseconds | undefined;
}

/** Creates `count` workers of the service `yard-app`. */
export const createVirtualWorkers = (
  count: number,
  {
    runMilliseconds = defaultRunMilliseconds,
    returnMilliseconds = defaultReturnMilliseconds,
  }: WorkerTiming = {},
): VirtualWorkers => {
  const runs: WorkerRun[] = [];
  const ends: WorkerEnd[] = [];
  const probes: VirtualProbe[] = [];
  let selectOutcome: (requestId: string) => WorkerOutcome = () => WorkerOutcome.Answer;
  let startCount = 0;
  let onDidStart: (address: string) => void = () => {};

  const createRegistration = (address: string, startedAt: Instant): Registration => {
    startCount += 1;
    return testEngine(`w${startCount}`, {
      service: 'yard-app',
      address,
      slots,
      models: [],
      startedAt,
    });
  };

  const processes = new Map(
    Array.from({ length: count }, (_, index): [string, WorkerProcess] => {
      const address = `127.0.0.1:${9_000 + index}`;
      const registration = createRegistration(address, -1);
      return [address, { registration, isRunning: true, sends: new Map() }];
    }),
  );

  const startProcess = (address: string, sends: WorkerProcess['sends'], now: Instant): void => {
    const registration = createRegistration(address, now);
    processes.set(address, { registration, isRunning: true, sends });
    onDidStart(address);
  };

  const endProcess = (
    worker: WorkerProcess,
    requestId: string,
    { now, scheduleAlways }: VirtualContext,
  ): void => {
    const { registration, sends } = worker;
    const { address, upstream } = registration;
    ends.push({ at: now(), worker: upstream, requestId });
    processes.set(address, { registration, sends, isRunning: false });
    const broken = [...sends.values()];
    sends.clear();
    broken.forEach(({ send, report }) => report({ kind: 'broken', send, reason: 'ECONNRESET' }));
    scheduleAlways(returnMilliseconds, () => startProcess(address, sends, now()));
  };

  type Finish = (
    worker: WorkerProcess,
    running: RunningSend,
    call: CallRow,
    context: VirtualContext,
  ) => void;

  const outcomeHandlers: Readonly<Record<WorkerOutcome, Finish>> = {
    answer: (worker, { send, report }) => {
      worker.sends.delete(send);
      report({ kind: 'answered', send, status: 200, hasFailed: false });
    },
    end: (worker, _, { requestId }, context) => endProcess(worker, requestId, context),
    cut: (worker, { send, report }) => {
      worker.sends.delete(send);
      report({ kind: 'broken', send, reason: 'ECONNRESET' });
    },
  };

  const createPort = (context: VirtualContext): VirtualPort => {
    const { daemon, schedule, scheduleAlways, now } = context;
    const { world } = daemon.core;
    const changes = world.sends.createChangeReader(RowReader.Port);
    const startedSends = new Set<SendId>();

    const report = (fact: SendFact): void => {
      schedule(connectMilliseconds, () => world.sendFacts.append(fact));
    };

    const startSend = ({ id: send, upstream, call: callId }: SendRow): void => {
      const call = world.calls.get(callId)!;
      const worker = processes.get(world.registrations.get(upstream)?.address ?? '');
      if (worker?.isRunning !== true || worker.registration.upstream !== upstream) {
        const isConnectionRefused = worker?.isRunning !== true;
        report({ kind: 'notRun', send, reason: 'not taken', isConnectionRefused });
        return;
      }
      const running = { send, report };
      worker.sends.set(send, running);
      const { requestId } = call;
      runs.push({ at: now(), worker: upstream, daemon: daemon.name, requestId });
      scheduleAlways(runMilliseconds, () => {
        if (!worker.sends.has(send)) return;
        outcomeHandlers[selectOutcome(requestId)](worker, running, call, context);
      });
    };

    const handleSend = (id: SendId): void => {
      const send = world.sends.get(id);
      if (send?.state !== SendState.Running || startedSends.has(id)) return;
      startedSends.add(id);
      startSend(send);
    };

    const connect = (probe: VirtualProbe): boolean => {
      probes.push(probe);
      return processes.get(probe.address)?.isRunning === true;
    };
    const probePort = createVirtualProbePort(context, connect, () => connectMilliseconds);

    return {
      drain: () => {
        changes.take().forEach(handleSend);
        probePort.drain();
      },
    };
  };

  const start = (installation: VirtualInstallation, controlDaemons: readonly string[]): void => {
    let reportCount = 0;

    const report = (address: string): void => {
      reportCount += 1;
      const running = controlDaemons.filter((name) => installation.runningNames().includes(name));
      const to = running[reportCount % running.length];
      const worker = processes.get(address);
      if (to === undefined || worker?.isRunning !== true) return;
      const registration = { ...worker.registration, sequence: reportCount };
      installation
        .daemon(to)
        .core.world.arrivedRegistrations.append({ registration, isDirect: true });
      installation.wake(to);
    };

    const repeatReports = (address: string): void => {
      report(address);
      installation.schedule(reportIntervalMilliseconds, () => repeatReports(address));
    };

    onDidStart = report;
    [...processes.keys()].forEach(repeatReports);
  };

  return {
    createPort,
    start,
    announceDepartures: (installation, to) => {
      processes.forEach(({ registration: { upstream, startedAt } }) =>
        installation.daemon(to).core.world.arrivedDepartures.append({ upstream, startedAt }),
      );
      installation.wake(to);
    },
    setOutcomeSelector: (select) => {
      selectOutcome = select;
    },
    runs: () => runs,
    ends: () => ends,
    probes: () => probes,
  };
};
