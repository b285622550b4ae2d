/**
 * Complete daemons with a service whose upstreams start cold: three control daemons, two entries, and
 * a port that answers each request after a short time. For tests of cold upstreams.
 */
import { asBrand } from '../../../../base/common/brand.js';
import type { Instant, Milliseconds } from '../../../../base/common/time.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { RowReader } from '../../../../infrastructure/tables/common/rowReader.js';
import {
  testDeclaration,
  testDeclarationCommand,
  testEngine,
} from '../../../../../standins/virtual/fleetFixture.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualContext,
  type VirtualInstallation,
  type VirtualPort,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { leadershipOf } from '../../../consensus/common/lease.js';
import { Profile } from '../../../core/common/core.js';
import {
  SendState,
  type CallId,
  type SendRow,
} from '../../../forwarding/common/forwardingTables.js';
import { RunState, type RunRow } from '../../../jobs/common/jobTables.js';
import type { Message } from '../../../messages/common/message.js';
import type { Registration } from '../../../registry/common/registryTables.js';
import type { World } from '../../../world/common/world.js';

export const daemons = ['d1', 'd2', 'd3', 'd4', 'd5'];
export const entries = ['d4', 'd5'];
const settleMilliseconds: Milliseconds = 8_000;
const reportIntervalMilliseconds: Milliseconds = 1_000;
export const coldMilliseconds: Milliseconds = 3_000;
export const requestsPerSecond = 12;
export const requestLimit = 23;
const answerMilliseconds: Milliseconds = 20;

/** The daemons, their upstreams, and what was sent. */
export interface ColdInstallation {
  readonly installation: VirtualInstallation;
  readonly worldOf: (daemon: string) => World;
  /** Sends to each upstream, by daemon and time. */
  readonly sends: readonly {
    readonly daemon: string;
    readonly upstream: string;
    readonly at: Instant;
  }[];
  readonly messages: readonly {
    readonly from: string;
    readonly message: Message;
    readonly at: Instant;
  }[];
  /** Starts to report; the first report has `cold` milliseconds left. */
  readonly startUpstream: (upstream: string, cold: Milliseconds) => void;
  readonly stopUpstream: (upstream: string) => void;
  /** Adds a call at a daemon at each interval, until the given time. */
  readonly callEvery: (daemon: string, interval: Milliseconds, until: Instant) => void;
  readonly leader: () => string;
}

/** Creates the daemons; `isLimited` says whether the settings limit requests to cold upstreams. */
export const createInstallation = (isLimited = true): ColdInstallation => {
  const sends: { daemon: string; upstream: string; at: Instant }[] = [];
  const messages: { from: string; message: Message; at: Instant }[] = [];
  const reporting = new Set<string>();
  let calls = 0;

  const createSendPort = ({ daemon, now, schedule }: VirtualContext): VirtualPort => {
    const { world } = daemon.core;
    const sendChanges = world.sends.createChangeReader(RowReader.Port);
    const runChanges = world.runs.createChangeReader(RowReader.Port);
    const open = new Set<string>();
    const startSend = ({ id, upstream }: SendRow): void => {
      open.add(id);
      sends.push({ daemon: daemon.name, upstream, at: now() });
      schedule(answerMilliseconds, () =>
        world.sendFacts.append({ kind: 'answered', send: id, status: 200, hasFailed: false }),
      );
    };
    const startRun = ({ id, start, upstream }: RunRow): void => {
      if (open.has(`${id}/${start}`)) return;
      open.add(`${id}/${start}`);
      sends.push({ daemon: daemon.name, upstream: upstream!, at: now() });
    };
    return {
      drain: () => {
        sendChanges
          .take()
          .map((id) => world.sends.get(id))
          .filter((send) => send?.state === SendState.Running && !open.has(send.id))
          .forEach((send) => startSend(send!));
        runChanges
          .take()
          .map((id) => world.runs.get(id))
          .filter((run) => run?.state === RunState.Running)
          .forEach((run) => startRun(run!));
      },
    };
  };

  const { places } = defaultFleetSettings;
  const coldLimit = isLimited ? { factor: 1.5, slack: 5 } : null;
  const installation = createVirtualInstallation({
    deployment: { ...createTestDeployment(daemons.length, 3), discovery: Discovery.Announced },
    tree: createTestTree(),
    seed: 11,
    latency: () => 5,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3, places: { ...places, coldLimit } },
    ports: [createSendPort],
    onDidSendMessage: (from, _, message) => {
      if (message.kind.startsWith('cold')) messages.push({ from, message, at: installation.now() });
    },
  });
  const worldOf = (daemon: string): World => installation.daemon(daemon).core.world;
  installation.runFor(settleMilliseconds);
  const declaration = testDeclaration();
  const coldStart = { milliseconds: coldMilliseconds, requestsPerSecond };
  worldOf('d1').proposals.append({
    id: asBrand('declare'),
    command: {
      ...testDeclarationCommand(),
      declaration: {
        ...declaration,
        routes: declaration.routes.map((route) => ({ ...route, isOpen: true })),
        services: declaration.services.map((service) => ({ ...service, coldStart })),
      },
    },
    proposalDeadline: installation.now() + settleMilliseconds,
  });
  installation.wake('d1');
  installation.runFor(settleMilliseconds);

  const report = (
    upstream: string,
    startedAt: Instant,
    warmAt: Instant,
    sequence: number,
  ): void => {
    if (!reporting.has(`${upstream}/${startedAt}`)) return;
    const columns: Partial<Registration> = {
      service: 'yard-app',
      slots: 100,
      startedAt,
      sequence,
      coldMilliseconds: Math.max(0, warmAt - installation.now()),
    };
    const to = installation.runningNames()[0]!;
    worldOf(to).arrivedRegistrations.append({
      registration: testEngine(upstream, columns),
      isDirect: true,
    });
    installation.wake(to);
    installation.schedule(reportIntervalMilliseconds, () =>
      report(upstream, startedAt, warmAt, sequence + 1),
    );
  };

  const addCall = (daemon: string): void => {
    calls += 1;
    worldOf(daemon).arrivedCalls.append({
      id: asBrand<CallId>(`call-${calls}`),
      requestId: `call-${calls}`,
      host: 'yard.example',
      path: '/book/x',
      key: null,
      digest: null,
      remaining: 2_000,
      isInternal: false,
      urgency: [],
      takesUp: null,
    });
    installation.wake(daemon);
  };

  const callEvery = (daemon: string, interval: Milliseconds, until: Instant): void => {
    if (installation.now() >= until) return;
    addCall(daemon);
    installation.schedule(interval, () => callEvery(daemon, interval, until));
  };

  return {
    installation,
    worldOf,
    sends,
    messages,
    startUpstream: (upstream, cold) => {
      const startedAt = installation.now();
      reporting.add(`${upstream}/${startedAt}`);
      report(upstream, startedAt, startedAt + cold, 1);
    },
    stopUpstream: (upstream) =>
      [...reporting]
        .filter((key) => key.startsWith(`${upstream}/`))
        .forEach((key) => reporting.delete(key)),
    callEvery,
    leader: () =>
      installation.runningNames().find((name) => leadershipOf(worldOf(name)).isSelf) ?? '',
  };
};

/** Returns the largest number of instants in a second. */
export const countMostInSecond = (instants: readonly Instant[]): number =>
  Math.max(
    0,
    ...instants.map(
      (instant) => instants.filter((at) => at >= instant && at < instant + 1_000).length,
    ),
  );

/** Offers calls at all entries for a while. */
export const offerCalls = (fleet: ColdInstallation, duration: Milliseconds, interval = 25): void =>
  entries.forEach((entry) => fleet.callEvery(entry, interval, fleet.installation.now() + duration));
