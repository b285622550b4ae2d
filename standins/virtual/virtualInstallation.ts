/**
 * Production cores on virtual time: outgoing messages are delivered between daemons after a
 * latency, and fakes replace the ports. Daemons can be frozen, stopped and started, and links
 * between pairs of them cut. Links have no bandwidth unless one is given.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { createRandom } from '../../src/base/common/random.js';
import { never, type Instant, type Milliseconds } from '../../src/base/common/time.js';
import { noopMetrics } from '../../src/infrastructure/metrics/common/metrics.js';
import type { Deployment } from '../../src/infrastructure/settings/common/deployment.js';
import type { FleetSettings } from '../../src/infrastructure/settings/common/fleetSettings.js';
import type { Tree } from '../../src/service/configuration/common/tree.js';
import { createCore, type Profile } from '../../src/service/core/common/core.js';
import type { RecordedEvent } from '../../src/service/events/common/eventKind.js';
import type { Message } from '../../src/service/messages/common/message.js';
import type { DaemonId } from '../../src/service/world/common/identifiers.js';
import { createLinkDelays } from './linkDelays.js';
import type { VirtualContext, VirtualDaemon, VirtualPort } from './virtualDaemon.js';
import { createVirtualDisk, createVirtualStoragePort, type VirtualDisk } from './virtualDisk.js';
import { createVirtualTime } from './virtualTime.js';

export type { VirtualContext, VirtualDaemon, VirtualPort };

export interface VirtualOptions {
  readonly deployment: Deployment;
  readonly tree: Tree;
  readonly seed: number;
  /** One-way latency between two daemons, by name. */
  readonly latency?: (from: string, to: string) => Milliseconds;
  /** Bytes per second of each link in each direction; by default unlimited. */
  readonly bandwidth?: number;
  /** Whether a port replaces the replicated log; no storage port is created then. */
  readonly hasFakeLog?: boolean;
  /** Selects the systems of the daemons; by default those of the settings tree. */
  readonly profile?: Profile;
  readonly fleet?: FleetSettings;
  /** The initial voters that a daemon is started with; by default those of the deployment. */
  readonly voters?: (name: string, incarnation: number) => readonly string[];
  /** Daemons that are not started with the installation. */
  readonly initiallyStopped?: readonly string[];
  /**
   * Whether the clock of each process starts at 0, as on a VM; otherwise all of them are the time of
   * the installation.
   */
  readonly hasOwnClocks?: boolean;
  /** Duration of a disk sync. */
  readonly syncDelay?: Milliseconds;
  /** Observes each message between daemons when it is sent. */
  readonly onDidSendMessage?: (from: string, to: string, message: Message) => void;
  /** Whether a message between daemons is lost on its way; asked when it is sent. */
  readonly isLost?: (from: string, to: string, message: Message) => boolean;
  /** Creates the fake ports of each daemon process. */
  readonly ports?: readonly ((context: VirtualContext) => VirtualPort)[];
}

/** An event with its instant on virtual time and the name of its daemon. */
export interface VirtualEvent extends RecordedEvent {
  readonly at: Instant;
  readonly process: string;
}

export interface VirtualInstallation {
  readonly now: () => Instant;
  readonly daemon: (name: string) => VirtualDaemon;
  /** The disk of a daemon, which survives restarts. */
  readonly disk: (name: string) => VirtualDisk;
  readonly runningNames: () => readonly string[];
  /** Whether this process of a daemon is still running. */
  readonly isCurrent: (daemon: VirtualDaemon) => boolean;
  /** All events of all daemons so far, in order. */
  readonly events: () => readonly VirtualEvent[];
  readonly runFor: (duration: Milliseconds) => void;
  /** Ticks a daemon, for use after a test has changed its tables. */
  readonly wake: (name: string) => void;
  readonly schedule: (delay: Milliseconds, action: () => void) => void;
  /** Stops a daemon like a crash; its tables are lost. */
  readonly stop: (name: string) => void;
  /** Starts a stopped daemon with a higher incarnation. */
  readonly start: (name: string) => void;
  /** Suspends a daemon; its messages and deadlines are held until it is thawed. */
  readonly freeze: (name: string) => void;
  readonly thaw: (name: string) => void;
  /** The time by the clock of a daemon's process. */
  readonly clockOf: (name: string) => Instant;
  /** Sets the clock of a daemon's process forward, as a step of the time of day of its VM does. */
  readonly stepClock: (name: string, duration: Milliseconds) => void;
  /** Drops messages between two daemons in both directions. */
  readonly cut: (first: string, second: string) => void;
  readonly heal: (first: string, second: string) => void;
}

const defaultLatency: Milliseconds = 1;
const defaultSyncDelay: Milliseconds = 1;
const linkKeyOf = (first: string, second: string): string => [first, second].sort().join('/');

/** Starts every daemon of the deployment. */
export const createVirtualInstallation = (options: VirtualOptions): VirtualInstallation => {
  const time = createVirtualTime();
  const daemons = new Map<string, VirtualDaemon>();
  const ports = new Map<string, readonly VirtualPort[]>();
  const disks = new Map(options.deployment.daemons.map(({ name }) => [name, createVirtualDisk()]));
  const diskRandom = createRandom(options.seed);
  const frozen = new Set<string>();
  const deferredActions = new Map<string, (() => void)[]>();
  const cutLinks = new Set<string>();
  const events: VirtualEvent[] = [];
  const incarnations = new Map<string, number>();
  /** The next tick of each daemon; updated by each tick and at the start of `runFor`. */
  const nextTickDeadlines = new Map<string, Instant>();
  const syncDelay = options.syncDelay ?? defaultSyncDelay;
  const latency = options.latency ?? (() => defaultLatency);
  const linkDelays = createLinkDelays({ latency, bandwidth: options.bandwidth, now: time.now });

  const deliverMessage = (from: string, to: string, message: unknown): void => {
    const daemon = daemons.get(to);
    if (daemon === undefined || cutLinks.has(linkKeyOf(from, to))) return;
    // Messages are copied because a real transport encodes them, so daemons share no objects.
    const messageCopy = structuredClone(message) as never;
    daemon.core.world.incomingMessages.append({
      from: asBrand<DaemonId>(from),
      message: messageCopy,
    });
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
    tick(to);
  };

  const clockOf = (name: string): Instant => time.now() - daemons.get(name)!.clockOrigin;

  const runWhenThawed = (name: string, action: () => void): void => {
    if (frozen.has(name)) deferredActions.set(name, [...(deferredActions.get(name) ?? []), action]);
    else action();
  };

  const sendMessages = (daemon: VirtualDaemon): void =>
    daemon.core.world.outgoingMessages.takeAll().forEach(({ to, message }) => {
      options.onDidSendMessage?.(daemon.name, to, message);
      if (cutLinks.has(linkKeyOf(daemon.name, to))) return;
      if (options.isLost?.(daemon.name, to, message) === true) return;
      time.schedule(linkDelays.delayOf(daemon.name, to, message), () =>
        runWhenThawed(to, () => deliverMessage(daemon.name, to, message)),
      );
    });

  const collectEvents = (daemon: VirtualDaemon): void =>
    daemon.core.world.events
      .takeAll()
      .forEach((event) => events.push({ ...event, at: time.now(), process: daemon.name }));

  const tick = (name: string): void => {
    const daemon = daemons.get(name);
    if (daemon === undefined || frozen.has(name)) return;
    const { clockOrigin } = daemon;
    const outcome = daemon.core.ticker.tick(time.now() - clockOrigin);
    if (outcome.isErr()) throw new Error(`${name}: ${outcome.error.message}`);
    ports.get(name)!.forEach((port) => port.drain());
    sendMessages(daemon);
    collectEvents(daemon);
    nextTickDeadlines.set(name, daemon.core.ticker.nextDeadline() + clockOrigin);
  };

  const contextOf = (daemon: VirtualDaemon): VirtualContext => ({
    daemon,
    now: () => time.now() - daemon.clockOrigin,
    scheduleAlways: time.schedule,
    schedule: (delay, action) =>
      time.schedule(delay, () =>
        runWhenThawed(daemon.name, () => {
          if (daemons.get(daemon.name) !== daemon) return;
          action();
          tick(daemon.name);
        }),
      ),
  });

  const start = (name: string): void => {
    const self = options.deployment.daemons.find((settings) => settings.name === name)!;
    const incarnation = (incarnations.get(name) ?? 0) + 1;
    incarnations.set(name, incarnation);
    const { deployment, tree, seed } = options;
    const clockOrigin = options.hasOwnClocks === true ? time.now() : 0;
    const random = createRandom(seed + incarnation * 1000 + deployment.daemons.indexOf(self));
    const core = createCore(
      {
        deployment,
        self,
        tree,
        incarnation,
        random,
        metrics: noopMetrics,
        voters: options.voters?.(name, incarnation),
        fleet: options.fleet,
      },
      time.now() - clockOrigin,
      options.profile,
    );
    const daemon: VirtualDaemon = { name, core, incarnation, clockOrigin };
    daemons.set(name, daemon);
    const context = contextOf(daemon);
    const createStorage = () => createVirtualStoragePort(context, disks.get(name)!, syncDelay);
    const storagePorts = options.hasFakeLog === true ? [] : [createStorage()];
    ports.set(name, [
      ...storagePorts,
      ...(options.ports ?? []).map((createPort) => createPort(context)),
    ]);
    tick(name);
  };

  const isUnfrozen = (name: string): boolean => !frozen.has(name);

  const refreshTickDeadlines = (): void =>
    daemons.forEach(({ name, core, clockOrigin }) =>
      nextTickDeadlines.set(name, core.ticker.nextDeadline() + clockOrigin),
    );

  const unfrozenTickDeadlines = (): [string, Instant][] =>
    [...nextTickDeadlines].filter(([name]) => isUnfrozen(name));

  const nextUnfrozenDeadline = (): Instant =>
    unfrozenTickDeadlines().reduce((next, [, deadline]) => Math.min(next, deadline), never);

  const tickDueDaemons = (): void =>
    unfrozenTickDeadlines()
      .filter(([, deadline]) => deadline <= time.now())
      .forEach(([name]) => tick(name));

  const runFor = (duration: Milliseconds): void => {
    const end = time.now() + duration;
    refreshTickDeadlines();
    for (;;) {
      const next = Math.min(time.nextInstant(), nextUnfrozenDeadline());
      if (next > end) break;
      time.advanceTo(next);
      if (!time.runDueAction()) tickDueDaemons();
    }
    time.advanceTo(end);
  };

  options.deployment.daemons
    .filter(({ name }) => options.initiallyStopped?.includes(name) !== true)
    .forEach(({ name }) => start(name));

  return {
    now: time.now,
    daemon: (name) => daemons.get(name)!,
    disk: (name) => disks.get(name)!,
    runningNames: () => [...daemons.keys()],
    isCurrent: (daemon) => daemons.get(daemon.name) === daemon,
    events: () => events,
    runFor,
    wake: tick,
    schedule: time.schedule,
    stop: (name) => {
      daemons.delete(name);
      nextTickDeadlines.delete(name);
      disks.get(name)!.crash(diskRandom);
      ports.delete(name);
      linkDelays.forget(name);
      frozen.delete(name);
      deferredActions.delete(name);
    },
    start,
    freeze: (name) => {
      frozen.add(name);
    },
    thaw: (name) => {
      frozen.delete(name);
      const actions = deferredActions.get(name) ?? [];
      deferredActions.delete(name);
      actions.forEach((action) => action());
      tick(name);
    },
    clockOf,
    stepClock: (name, duration) => {
      const daemon = daemons.get(name)!;
      const from = clockOf(name);
      daemon.clockOrigin -= duration;
      daemon.core.world.clockJumps.append({ from, to: clockOf(name) });
      runWhenThawed(name, () => tick(name));
    },
    cut: (first, second) => {
      cutLinks.add(linkKeyOf(first, second));
    },
    heal: (first, second) => {
      cutLinks.delete(linkKeyOf(first, second));
    },
  };
};
