/**
 * A complete installation on virtual time with simulated upstreams, callers, trainers and operators, and
 * the operations that scenarios and the fault matrix perform on it.
 */
import { createVirtualBodies } from '../../standins/virtual/virtualBodies.js';
import { asBrand } from '../../src/base/common/brand.js';
import type { Milliseconds } from '../../src/base/common/time.js';
import { rankAddresses } from '../../src/service/advice/common/advice.js';
import type { ServiceName } from '../../src/service/world/common/identifiers.js';
import { digestOf, settleMilliseconds } from '../../standins/virtual/testDeployment.js';
import { createLinks } from '../../standins/virtual/links.js';
import {
  createVirtualCallers,
  type Call,
  type VirtualCallers,
} from '../../standins/virtual/virtualCallers.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../standins/virtual/virtualInstallation.js';
import {
  createVirtualTrainers,
  type Trainer,
  type VirtualTrainers,
} from '../../standins/virtual/virtualTrainers.js';
import { UpstreamFaultKind } from '../../standins/virtual/virtualUpstream.js';
import {
  createVirtualUpstreams,
  type VirtualUpstreams,
} from '../../standins/virtual/virtualUpstreams.js';
import { getInstallation, type InstallationName, type ProofInstallation } from './installations.js';
import { createOperators, type Operators } from './operators.js';
import { createReachabilityTracker } from './reachability.js';
import type { Recording, Shutdown } from './recording.js';
import { startShutdown } from './shutdowns.js';

/** A request of a scenario; without `daemon` it goes to the advised daemon. */
export interface CallOptions {
  readonly workspace: string;
  readonly service: string;
  readonly daemon?: string | undefined;
  /** Key to send instead of the example key of the workspace. */
  readonly key?: string | undefined;
  /** Digest of the content; equal for resent calls. */
  readonly digest?: string;
}

/** A lot of a scenario; defaults are the advised daemon and the engine workspace. */
export interface LotOptions {
  readonly workspace?: string | undefined;
  readonly daemon?: string | undefined;
  readonly groups: number;
  readonly groupSize: number;
  readonly trainerVersion: number;
  readonly stalenessBound: number;
}

/** A running system on virtual time, and the operations on it. */
export interface ProofSystem {
  /** Deployment, settings tree and upstreams with which the system was created. */
  readonly settings: ProofInstallation;
  readonly installation: VirtualInstallation;
  readonly upstreams: VirtualUpstreams;
  readonly callers: VirtualCallers;
  readonly trainers: VirtualTrainers;
  readonly operators: Operators;
  /** Returns the daemon that the address advice lists first for a new caller. */
  readonly advisedDaemon: () => string;
  /** Sends a request and returns the call, whose outcome is set when it ends. */
  readonly call: (options: CallOptions) => Call;
  /** Opens a lot for a new trainer. */
  readonly openLot: (options: LotOptions) => Trainer;
  /** Switches all engines and all trainers to a weight version. */
  readonly releaseWeights: (version: number) => void;
  /** Starts the graceful shutdown of a daemon. */
  readonly shutDown: (daemon: string) => void;
  /** Stops a daemon without a shutdown, as a crash does. */
  readonly stop: (daemon: string) => void;
  readonly start: (daemon: string) => void;
  readonly freeze: (daemon: string) => void;
  readonly thaw: (daemon: string) => void;
  /** Disconnects a group of daemons from all others. */
  readonly isolate: (daemons: readonly string[]) => void;
  /** Reconnects a group of daemons to all others. */
  readonly rejoin: (daemons: readonly string[]) => void;
  readonly daemonNames: () => readonly string[];
  /** Returns the recording of the run until now. */
  readonly recording: () => Recording;
}

const lotTimeoutMilliseconds: Milliseconds = 600_000;

/** Returns the example key of a workspace. */
export const exampleKeyOf = (workspace: string): string => `demo-key-${workspace}`;

const createSimulations = (settings: ProofInstallation) => {
  const links = createLinks(settings.deployment, settings.latencies);
  const upstreams = createVirtualUpstreams(settings.upstreams, links);
  const callers = createVirtualCallers(links.toClients);
  const bodies = createVirtualBodies();
  const trainers = createVirtualTrainers(links.toClients, bodies);
  const operators = createOperators(links.toClients);
  return { links, upstreams, callers, bodies, trainers, operators };
};

/** Starts an installation and runs it for the settling time, so that its upstreams are announced. */
export const createProofSystem = (name: InstallationName, seed: number): ProofSystem => {
  const settings = getInstallation(name);
  const { links, upstreams, callers, bodies, trainers, operators } = createSimulations(settings);
  const reachability = createReachabilityTracker();
  const shutdowns: Shutdown[] = [];
  const installation = createVirtualInstallation({
    deployment: settings.deployment,
    tree: settings.tree,
    seed,
    latency: links.betweenDaemons,
    ports: [
      upstreams.createPort,
      callers.createPort,
      bodies.createPort,
      trainers.createPort,
      operators.createPort,
    ],
  });
  const names = settings.deployment.daemons.map((daemon) => daemon.name);
  const { now } = installation;

  const frozen = new Set<string>();
  const stop = (daemon: string): void => {
    frozen.delete(daemon);
    installation.stop(daemon);
    callers.disconnectCallers(daemon, now());
    reachability.end(daemon, now());
  };

  const advisedDaemon = (): string => {
    const advisingWorld = installation.daemon(installation.runningNames()[0]!).core.world;
    const [best] = rankAddresses(advisingWorld, undefined).addresses;
    return best?.daemon ?? advisingWorld.self.name;
  };

  const forEachLinkAcross = (
    daemons: readonly string[],
    action: (inside: string, outside: string) => void,
  ): void =>
    daemons.forEach((inside) =>
      names
        .filter((outside) => !daemons.includes(outside))
        .forEach((outside) => action(inside, outside)),
    );

  const openLot = ({ workspace, daemon, ...lot }: LotOptions): Trainer =>
    trainers.open(daemon ?? advisedDaemon(), {
      workspace: asBrand(workspace ?? settings.engineWorkspace),
      service: asBrand(settings.engineService),
      model: settings.engineService,
      step: trainers.trainers().length,
      trainerVersion: lot.trainerVersion,
      stalenessBound: lot.stalenessBound,
      groupCount: lot.groups,
      groupSize: lot.groupSize,
      maximumTokens: 100,
      remaining: lotTimeoutMilliseconds,
    });

  const releaseWeights = (weightVersion: number): void => {
    settings.upstreams
      .filter((upstream) => upstream.weightVersion !== null)
      .forEach((upstream) =>
        upstreams.inject(upstream.name, { kind: UpstreamFaultKind.SwapWeights, weightVersion }),
      );
    trainers.trainers().forEach((trainer) => {
      Object.assign(trainer, { trainerVersion: weightVersion });
    });
  };

  upstreams.attach(installation);
  names.forEach((daemon) => reachability.start(daemon, now()));
  installation.runFor(settleMilliseconds);

  return {
    settings,
    installation,
    upstreams,
    callers,
    trainers,
    operators,
    advisedDaemon,
    call: ({ workspace, service, daemon, key, digest }) =>
      callers.send(daemon ?? advisedDaemon(), {
        keyDigest: digestOf(key ?? exampleKeyOf(workspace)),
        service: asBrand<ServiceName>(service),
        estimatedTokens: 100,
        ...(digest === undefined ? {} : { digest }),
      }),
    openLot,
    releaseWeights,
    shutDown: (daemon) => {
      shutdowns.push(
        startShutdown(installation, daemon, stop, (frozenDaemon) => frozen.has(frozenDaemon)),
      );
    },
    stop: (daemon) => {
      shutdowns
        .filter((shutdown) => shutdown.daemon === daemon && shutdown.interruptedAt === null)
        .forEach((shutdown) => Object.assign(shutdown, { interruptedAt: now() }));
      stop(daemon);
    },
    start: (daemon) => {
      installation.start(daemon);
      reachability.start(daemon, now());
    },
    freeze: (daemon) => {
      frozen.add(daemon);
      installation.freeze(daemon);
      reachability.end(daemon, now());
    },
    thaw: (daemon) => {
      frozen.delete(daemon);
      installation.thaw(daemon);
      reachability.start(daemon, now());
    },
    isolate: (daemons) => {
      forEachLinkAcross(daemons, installation.cut);
      daemons.forEach((daemon) => reachability.end(daemon, now()));
    },
    rejoin: (daemons) => {
      forEachLinkAcross(daemons, installation.heal);
      daemons.forEach((daemon) => reachability.start(daemon, now()));
    },
    daemonNames: () => names,
    recording: () => ({
      tree: settings.tree,
      upstreams: settings.upstreams,
      endedAt: now(),
      events: installation.events(),
      executions: upstreams.executions(),
      calls: callers.calls(),
      trainers: trainers.trainers(),
      deliveries: trainers.deliveries(),
      withdrawals: operators.withdrawals(),
      shutdowns,
      orders: [],
      usageReports: [],
      revisions: operators.revisions(),
      acceptedEdits: operators.acceptedEdits(),
      reachableIntervals: reachability.intervals(now()),
      keys: Object.keys(settings.tree.workspaces).map(exampleKeyOf),
    }),
  };
};
