/**
 * Fake upstreams on virtual time. The port of each daemon sends them the attempts in the state
 * `writing`, and they report response events after the latency of the link. Each announcement is
 * sent to two daemons, selected round-robin.
 */
import { dispatchByKind, type HandlerTable } from '../../src/base/common/handlers.js';
import { never, type Instant } from '../../src/base/common/time.js';
import { RowReader } from '../../src/infrastructure/tables/common/rowReader.js';
import { UpstreamState } from '../../src/service/protocol/common/upstreamProtocol.js';
import type { AttemptRow, AttemptState } from '../../src/service/traffic/common/trafficTables.js';
import type { AttemptId } from '../../src/service/world/common/identifiers.js';
import type { Links } from './links.js';
import { addressOf, createVirtualAnnouncer, type VirtualAnnouncer } from './virtualAnnouncer.js';
import {
  createVirtualExecutions,
  type IsPoisonous,
  type UpstreamClock,
} from './virtualExecutions.js';
import type { VirtualContext, VirtualInstallation, VirtualPort } from './virtualInstallation.js';
import { createVirtualProbePort } from './virtualProbes.js';
import type {
  Execution,
  UpstreamFault,
  VirtualUpstream,
  VirtualUpstreamSettings,
} from './virtualUpstream.js';

/** The fake upstreams of one installation. */
export interface VirtualUpstreams {
  /** Creates the upstream port of one daemon process. */
  readonly createPort: (context: VirtualContext) => VirtualPort;
  /** Starts announcing to the daemons; called once, after the installation is created. */
  readonly attach: (installation: VirtualInstallation) => void;
  readonly inject: (name: string, fault: UpstreamFault) => void;
  /** Sets the predicate for requests that crash every upstream that runs them. */
  readonly poison: (isPoisonous: IsPoisonous) => void;
  /** All attempts that upstreams have started to run, in order. */
  readonly executions: () => readonly Execution[];
  readonly names: () => readonly string[];
  readonly get: (name: string) => VirtualUpstream;
}

const createUpstream = (settings: VirtualUpstreamSettings): VirtualUpstream => ({
  settings,
  incarnation: 1,
  weightVersion: settings.weightVersion,
  state: UpstreamState.Serving,
  stateSince: 0,
  terminationDeadline: never,
  isDown: false,
  isUnresponsive: false,
  isRefusing: false,
  delay: 0,
});

const changeState = (upstream: VirtualUpstream, state: UpstreamState, now: Instant): void => {
  Object.assign(upstream, { state, stateSince: now });
};

/** Creates the upstreams; they announce nothing before `attach`. */
export const createVirtualUpstreams = (
  settings: readonly VirtualUpstreamSettings[],
  links: Links,
): VirtualUpstreams => {
  const upstreams = new Map(settings.map((each) => [each.name, createUpstream(each)]));
  const contextByDaemon = new Map<string, VirtualContext>();
  let installation: VirtualInstallation | undefined;
  let announcer: VirtualAnnouncer | undefined;

  const now = (): Instant => installation!.now();
  const schedule: UpstreamClock['schedule'] = (delay, action) =>
    installation!.schedule(delay, action);
  const executions = createVirtualExecutions(links, { now, schedule }, (context) =>
    installation!.isCurrent(context.daemon),
  );

  const faultHandlers: HandlerTable<UpstreamFault, void, [VirtualUpstream]> = {
    crash: (_, upstream) => executions.crash(upstream),
    restart: (_, upstream) => {
      Object.assign(upstream, {
        isDown: false,
        incarnation: upstream.incarnation + 1,
        terminationDeadline: never,
      });
      changeState(upstream, UpstreamState.Serving, now());
    },
    silenceOpen: (_, upstream) =>
      executions
        .runningOf(upstream.settings.name)
        .forEach(({ execution }) => Object.assign(execution, { isUnresponsive: true })),
    silence: (_, upstream) => {
      Object.assign(upstream, { isUnresponsive: true });
      faultHandlers.silenceOpen({ kind: 'silenceOpen' }, upstream);
    },
    late: ({ delay }, upstream) => {
      Object.assign(upstream, { delay });
    },
    refuse: (_, upstream) => {
      Object.assign(upstream, { isRefusing: true });
    },
    drain: (_, upstream) => changeState(upstream, UpstreamState.Draining, now()),
    reclaim: ({ notice }, upstream) => {
      Object.assign(upstream, { terminationDeadline: now() + notice });
      changeState(upstream, UpstreamState.Leaving, now());
      schedule(notice, () => executions.crash(upstream));
    },
    swapWeights: ({ weightVersion }, upstream) => {
      if (upstream.settings.weightVersion === null) return;
      Object.assign(upstream, { weightVersion });
    },
    recover: (_, upstream) => {
      Object.assign(upstream, { isUnresponsive: false, isRefusing: false, delay: 0 });
      changeState(upstream, UpstreamState.Serving, now());
    },
  };

  const createPort = (context: VirtualContext): VirtualPort => {
    const { world } = context.daemon.core;
    const changes = world.attempts.createChangeReader(RowReader.Port);
    const sentAttempts = new Set<AttemptId>();
    contextByDaemon.set(context.daemon.name, context);
    const findByAddress = (address: string): VirtualUpstream | undefined =>
      [...upstreams.values()].find(({ settings: { name } }) => addressOf(name) === address);
    const probePort = createVirtualProbePort(
      context,
      ({ address }) => findByAddress(address)?.isDown === false,
      (address) =>
        2 * links.toZone(context.daemon.name, findByAddress(address)?.settings.zone ?? ''),
    );

    const sendAttempt = (attempt: AttemptRow): void => {
      if (sentAttempts.has(attempt.id)) return;
      sentAttempts.add(attempt.id);
      const upstream = upstreams.get(attempt.upstream)!;
      const latency = links.toZone(context.daemon.name, upstream.settings.zone);
      schedule(latency, () => executions.handleAttempt(context, upstream, attempt));
    };

    /** Handlers for a changed attempt, by its state. */
    const handlers: Readonly<Record<AttemptState, (attempt: AttemptRow) => void>> = {
      queued: () => {},
      writing: sendAttempt,
      answering: () => {},
      ended: ({ id, upstream }) => {
        const latency = links.toZone(context.daemon.name, upstreams.get(upstream)!.settings.zone);
        schedule(latency, () => executions.cancel(id));
      },
    };

    return {
      drain: () => {
        changes.take().forEach((id) => {
          const attempt = world.attempts.get(id);
          if (attempt !== undefined) handlers[attempt.state](attempt);
        });
        probePort.drain();
      },
    };
  };

  return {
    createPort,
    attach: (createdInstallation) => {
      installation = createdInstallation;
      announcer = createVirtualAnnouncer(createdInstallation, {
        links,
        getContext: (daemon) => contextByDaemon.get(daemon),
        countRunning: (upstream) => executions.runningOf(upstream).length,
      });
      upstreams.forEach(announcer.announcePeriodically);
    },
    inject: (name, fault) => {
      const upstream = upstreams.get(name)!;
      dispatchByKind(faultHandlers, fault, upstream);
      announcer!.announce(upstream);
    },
    poison: executions.poison,
    executions: executions.all,
    names: () => [...upstreams.keys()],
    get: (name) => upstreams.get(name)!,
  };
};
