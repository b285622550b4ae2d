/**
 * Real cores on virtual time: their outgoing message rows are handed to each other with a latency, and
 * ports are replaced by fakes. Daemons can be frozen, stopped and started, and pairs of them cut off.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { createRandom } from '../../src/base/common/random.js';
import { never, type Instant, type Milliseconds } from '../../src/base/common/time.js';
import { noopMetrics } from '../../src/infrastructure/metrics/common/metrics.js';
import type { Deployment } from '../../src/infrastructure/settings/common/deployment.js';
import type { FleetSettings } from '../../src/infrastructure/settings/common/fleetSettings.js';
import type { Tree } from '../../src/service/configuration/common/tree.js';
import { createCore, type Core, type Profile } from '../../src/service/core/common/core.js';
import type { RecordedEvent } from '../../src/service/events/common/eventKind.js';
import type { DaemonId } from '../../src/service/world/common/identifiers.js';
import { createVirtualDisk, createVirtualStoragePort, type VirtualDisk } from './virtualDisk.js';
import { createVirtualTime } from './virtualTime.js';

/** A fake port of one daemon; `drain` is run after each of its ticks. */
export interface VirtualPort {
  readonly drain: () => void;
}

/** One start of one daemon. */
export interface VirtualDaemon {
  readonly name: string;
  readonly core: Core;
  readonly incarnation: number;
}

/** What a fake port may use. */
export interface VirtualContext {
  readonly daemon: VirtualDaemon;
  readonly now: () => Instant;
  /** Runs an action later, unless this start of the daemon has ended by then; then it ticks. */
  readonly schedule: (delay: Milliseconds, action: () => void) => void;
  /** Runs an action later, whatever becomes of the daemon. */
  readonly scheduleAlways: (delay: Milliseconds, action: () => void) => void;
}

export interface VirtualOptions {
  readonly deployment: Deployment;
  readonly tree: Tree;
  readonly seed: number;
  /** One-way latency between two daemons, by name. */
  readonly latency?: (from: string, to: string) => Milliseconds;
  /** Whether a fake takes the place of the replicated log; voters then get no disk. */
  readonly hasFakeLog?: boolean;
  /** The systems of the daemons; those of the settings tree unless it is said. */
  readonly profile?: Profile;
  readonly fleet?: FleetSettings;
  /** The first voters as a daemon knows them at a start; those of the deployment unless it is said. */
  readonly voters?: (name: string, incarnation: number) => readonly string[];
  /** Daemons that are not started with the others. */
  readonly initiallyStopped?: readonly string[];
  /** How long a disk takes to sync. */
  readonly syncDelay?: Milliseconds;
  /** Creates the fake ports of each start of a daemon. */
  readonly ports?: readonly ((context: VirtualContext) => VirtualPort)[];
}

/** An event with its instant on virtual time and its process. */
export interface VirtualEvent extends RecordedEvent {
  readonly at: Instant;
  readonly process: string;
}

export interface VirtualInstallation {
  readonly now: () => Instant;
  readonly daemon: (name: string) => VirtualDaemon;
  /** The disk of a daemon, which outlives its starts. */
  readonly disk: (name: string) => VirtualDisk;
  readonly runningNames: () => readonly string[];
  /** Whether this start of a daemon still runs. */
  readonly isCurrent: (daemon: VirtualDaemon) => boolean;
  /** All events of all daemons so far, in order. */
  readonly events: () => readonly VirtualEvent[];
  readonly runFor: (duration: Milliseconds) => void;
  /** Ticks a daemon after a test has changed its tables. */
  readonly wake: (name: string) => void;
  readonly schedule: (delay: Milliseconds, action: () => void) => void;
  /** Ends a daemon as by a crash; its tables are lost. */
  readonly stop: (name: string) => void;
  /** Starts a stopped daemon anew with a higher incarnation. */
  readonly start: (name: string) => void;
  /** Stops the clock of a daemon; messages and deadlines wait until it is thawed. */
  readonly freeze: (name: string) => void;
  readonly thaw: (name: string) => void;
  /** Drops messages between two daemons, both ways. */
  readonly cut: (first: string, second: string) => void;
  readonly heal: (first: string, second: string) => void;
}

const defaultLatency: Milliseconds = 1;
const defaultSyncDelay: Milliseconds = 1;
const pairOf = (first: string, second: string): string => [first, second].sort().join('/');

/** Starts every daemon of the deployment. */
export const createVirtualInstallation = (options: VirtualOptions): VirtualInstallation => {
  const time = createVirtualTime();
  const daemons = new Map<string, VirtualDaemon>();
  const ports = new Map<string, readonly VirtualPort[]>();
  const disks = new Map(options.deployment.daemons.map(({ name }) => [name, createVirtualDisk()]));
  const diskRandom = createRandom(options.seed);
  const frozen = new Set<string>();
  const deferredActions = new Map<string, (() => void)[]>();
  const cuts = new Set<string>();
  const events: VirtualEvent[] = [];
  const incarnations = new Map<string, number>();
  /** When each daemon ticks next; a tick and the begin of a run set it anew. */
  const nextTickDeadlines = new Map<string, Instant>();
  const syncDelay = options.syncDelay ?? defaultSyncDelay;
  const latency = options.latency ?? (() => defaultLatency);

  const deliver = (from: string, to: string, message: unknown): void => {
    const daemon = daemons.get(to);
    if (daemon === undefined || cuts.has(pairOf(from, to))) return;
    // Messages are copied, as an encoding would do.
    const copy = structuredClone(message) as never;
    daemon.core.world.incomingMessages.append({ from: asBrand<DaemonId>(from), message: copy });
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two call each other
    tick(to);
  };

  const runWhenThawed = (name: string, action: () => void): void => {
    if (frozen.has(name)) deferredActions.set(name, [...(deferredActions.get(name) ?? []), action]);
    else action();
  };

  const sendMessages = (daemon: VirtualDaemon): void =>
    daemon.core.world.outgoingMessages.takeAll().forEach(({ to, message }) => {
      if (cuts.has(pairOf(daemon.name, to))) return;
      time.schedule(latency(daemon.name, to), () =>
        runWhenThawed(to, () => deliver(daemon.name, to, message)),
      );
    });

  const collectEvents = (daemon: VirtualDaemon): void =>
    daemon.core.world.events
      .takeAll()
      .forEach((event) => events.push({ ...event, at: time.now(), process: daemon.name }));

  const tick = (name: string): void => {
    const daemon = daemons.get(name);
    if (daemon === undefined || frozen.has(name)) return;
    const outcome = daemon.core.ticker.tick(time.now());
    if (outcome.isErr()) throw new Error(`${name}: ${outcome.error.message}`);
    ports.get(name)!.forEach((port) => port.drain());
    sendMessages(daemon);
    collectEvents(daemon);
    nextTickDeadlines.set(name, daemon.core.ticker.nextDeadline());
  };

  const contextOf = (daemon: VirtualDaemon): VirtualContext => ({
    daemon,
    now: time.now,
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
      time.now(),
      options.profile,
    );
    const daemon: VirtualDaemon = { name, core, incarnation };
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
    daemons.forEach(({ name, core }) => nextTickDeadlines.set(name, core.ticker.nextDeadline()));

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
    cut: (first, second) => {
      cuts.add(pairOf(first, second));
    },
    heal: (first, second) => {
      cuts.delete(pairOf(first, second));
    },
  };
};
