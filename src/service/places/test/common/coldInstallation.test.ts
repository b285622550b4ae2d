/**
 * Cold upstreams in complete daemons: three control daemons and two entries, with real elections,
 * heartbeats and lists. Guards against an upstream that stays idle although work waits, requests
 * without a leader, and requests of a daemon that is cut off and takes the upstream for warm.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { Instant, Milliseconds } from '../../../../base/common/time.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { RowReader } from '../../../../infrastructure/tables/common/rowReader.js';
import { encodeFrame } from '../../../../infrastructure/wire/node/frames.js';
import {
  testDeclaration,
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
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
import { selectSendable } from '../../common/coldSelection.js';
import { markZoneCold } from '../../common/coldState.js';

const daemons = ['d1', 'd2', 'd3', 'd4', 'd5'];
const entries = ['d4', 'd5'];
const settleMilliseconds: Milliseconds = 8_000;
const reportIntervalMilliseconds: Milliseconds = 1_000;
const coldMilliseconds: Milliseconds = 3_000;
const requestsPerSecond = 12;
const requestLimit = 23;
const answerMilliseconds: Milliseconds = 20;

interface ColdInstallation {
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

const createInstallation = (isLimited = true): ColdInstallation => {
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

const countMostInSecond = (instants: readonly Instant[]): number =>
  Math.max(
    0,
    ...instants.map(
      (instant) => instants.filter((at) => at >= instant && at < instant + 1_000).length,
    ),
  );

const offerCalls = (fleet: ColdInstallation, duration: Milliseconds, interval = 25): void =>
  entries.forEach((entry) => fleet.callEvery(entry, interval, fleet.installation.now() + duration));

test('an upstream that returned gets the rate that it tolerates, and no more', (t) => {
  const fleet = createInstallation();
  const start = fleet.installation.now();
  fleet.startUpstream('e1', 5_000);
  offerCalls(fleet, 5_000);
  fleet.installation.runFor(5_000);
  const instants = fleet.sends.map(({ at }) => at).filter((at) => at < start + 5_000);
  const share = instants.length / (5 * requestsPerSecond);
  t.log(`${instants.length} requests in 5 s, ${share.toFixed(2)} of the declared rate`);
  t.log(`at most ${countMostInSecond(instants)} in a second, of ${requestLimit}`);
  t.true(share > 0.9);
  t.true(countMostInSecond(instants) <= requestLimit);
});

test('permits are requested for the calls that wait, and not in each tick', (t) => {
  const fleet = createInstallation();
  fleet.startUpstream('e1', coldMilliseconds);
  fleet.installation.runFor(100);
  fleet.callEvery('d4', 1, fleet.installation.now() + 3);
  fleet.installation.runFor(100);
  const requests = fleet.messages.filter(({ message }) => message.kind === 'coldPermitsRequested');
  t.is(fleet.sends.length, 3);
  const requested = requests.map(({ message }) => (message as { count: number }).count);
  t.is(
    requested.reduce((sum, count) => sum + count, 0),
    3,
  );
  const frames = fleet.messages.map(({ message }) => encodeFrame(message)._unsafeUnwrap().length);
  t.log(`frames of ${[...new Set(frames)].sort().join(', ')} bytes`);
});

test('nothing is sent to a cold upstream without a leader, and a warm one serves on', (t) => {
  const fleet = createInstallation();
  fleet.startUpstream('e1', 0);
  fleet.installation.runFor(2_000);
  const leader = fleet.leader();
  ['d1', 'd2', 'd3']
    .filter((name) => name !== leader)
    .forEach((name) => fleet.installation.freeze(name));
  fleet.installation.runFor(2_500);
  t.is(fleet.leader(), '', 'no leader');
  fleet.startUpstream('e2', coldMilliseconds);
  fleet.installation.runFor(300);
  const start = fleet.installation.now();
  offerCalls(fleet, 1_000);
  fleet.installation.runFor(1_000);
  const sent = fleet.sends.filter(({ at }) => at >= start);
  t.is(sent.filter(({ upstream }) => upstream === 'e2').length, 0);
  t.log(`${sent.length} requests to the warm upstream`);
});

test('a daemon that is cut off and takes the upstream for warm sends nothing when it is overdue', (t) => {
  const fleet = createInstallation();
  fleet.startUpstream('e1', 0);
  fleet.installation.runFor(2_000);
  daemons.filter((name) => name !== 'd4').forEach((name) => fleet.installation.cut('d4', name));
  const cutAt = fleet.installation.now();
  fleet.callEvery('d4', 20, cutAt + 4_000);
  const isSendable = (): boolean => {
    const world = fleet.worldOf('d4');
    return (
      selectSendable(world, [[...world.registrations.rows()]], fleet.installation.now()).length > 0
    );
  };
  fleet.installation.runFor(1_000);
  t.true(isSendable(), 'it takes the upstream for warm at first');
  fleet.installation.runFor(1_300);
  t.is(fleet.worldOf('d4').registrations.size(), 1, 'it still knows the upstream');
  t.false(isSendable(), 'the report is overdue, and no leader grants a permit');
  fleet.installation.runFor(2_000);
  const ownSends = fleet.sends.filter(({ daemon, at }) => daemon === 'd4' && at >= cutAt);
  const last = Math.max(...ownSends.map(({ at }) => at)) - cutAt;
  t.log(`last request ${Math.round(last)} ms after the cut`);
  t.true(last > 0 && last <= 2_200);
});

test('upstreams of a marked zone are cold for the declared time, whatever they report', (t) => {
  const fleet = createInstallation();
  fleet.startUpstream('e1', 0);
  fleet.installation.runFor(2_000);
  daemons.forEach((name) => markZoneCold(fleet.worldOf(name), 'z1', fleet.installation.now()));
  const start = fleet.installation.now();
  offerCalls(fleet, 4_500);
  fleet.installation.runFor(4_500);
  const cold = fleet.sends.map(({ at }) => at).filter((at) => at < start + coldMilliseconds);
  t.true(cold.length > 0);
  t.true(countMostInSecond(cold) <= requestLimit);
  t.true(fleet.sends.length - cold.length > requestLimit, 'it is warm afterwards');
});

test('items that the leader runs use permits without messages', (t) => {
  const fleet = createInstallation();
  const leader = fleet.leader();
  const items = Array.from({ length: 60 }, (_, index) => testItem(`i${index}`, `g${index}`));
  fleet.worldOf(leader).proposals.append({
    id: asBrand('job'),
    command: testJob('job-1', items, { submittedAt: fleet.installation.now() }),
    proposalDeadline: fleet.installation.now() + 2_000,
  });
  fleet.installation.wake(leader);
  fleet.installation.runFor(500);
  const start = fleet.installation.now();
  fleet.worldOf('d1').arrivedRegistrations.append({
    registration: testEngine('e1', { slots: 100, startedAt: start, coldMilliseconds: 2_900 }),
    isDirect: true,
  });
  fleet.installation.wake('d1');
  fleet.installation.runFor(2_000);
  const instants = fleet.sends.map(({ at }) => at);
  t.is(fleet.messages.length, 0);
  t.true(instants.length > requestLimit, `${instants.length} items`);
  t.true(countMostInSecond(instants) <= requestLimit);
});

test('without a limit in the settings nothing is limited and no message is sent', (t) => {
  const fleet = createInstallation(false);
  const start = fleet.installation.now();
  fleet.startUpstream('e1', coldMilliseconds);
  offerCalls(fleet, 2_000);
  fleet.installation.runFor(2_000);
  t.true(fleet.sends.length > 100, `${fleet.sends.length} requests`);
  t.is(fleet.messages.length, 0);
  const kinds = fleet.installation.events().filter(({ at }) => at >= start);
  t.false(kinds.some(({ kind }) => kind.startsWith('upstreamCold')));
  daemons.forEach((name) => t.is(fleet.worldOf(name).coldStates.size(), 0));
});

test('each daemon logs one line when an upstream is cold and one when it is warm again', (t) => {
  const fleet = createInstallation();
  fleet.startUpstream('e1', coldMilliseconds);
  offerCalls(fleet, 2_500, 20);
  fleet.installation.runFor(6_000);
  const countOf = (kind: string): number =>
    fleet.installation.events().filter((event) => event.kind === kind).length;
  t.is(countOf('upstreamCold'), daemons.length);
  t.is(countOf('upstreamWarm'), daemons.length);
  t.is(countOf('coldPermitsRefused'), 1);
});
