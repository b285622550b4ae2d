/**
 * An installation with three stores and two entries whose operator evacuates zones and takes them
 * back, and whose daemons send requests to every zone as soon as they may. It records what breaks the
 * guarantees given to the operator.
 */
import { createRandom, selectRandomElement } from '../../../../base/common/random.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import {
  defaultFleetSettings,
  defaultPlaceSettings,
} from '../../../../infrastructure/settings/common/fleetSettings.js';
import { RowReader } from '../../../../infrastructure/tables/common/rowReader.js';
import { createControlHistory } from '../../../../../standins/virtual/controlHistory.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import { leaderOf, worldOf } from '../../../../../standins/virtual/inspection.js';
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
import type { ProposalId } from '../../../consensus/common/consensusTables.js';
import { freshnessMilliseconds } from '../../../consensus/common/consensusTiming.js';
import { Profile } from '../../../core/common/core.js';
import { canSendNewRequests, isPlaceAllowed, isZoneEvacuated } from '../../common/eligibility.js';
import { createZoneEvacuated, createZoneRestored } from '../../common/evacuationRequests.js';

export const stores = ['d1', 'd2', 'd3'];
export const entries = ['d4', 'd5'];
export const all = [...stores, ...entries];
export const zones = ['z1', 'z2'];

/** Time for the first election and the first declaration. */
const settleMilliseconds = 4_000;
const sendIntervalMilliseconds = 100;
/** As in the routes of operators. */
const proposalTimeoutMilliseconds = 2_500;
/** Operators send a request again to another daemon if it was not answered for so long. */
const resendMilliseconds = 1_000;

/** One change that the operator wants, until it is acknowledged. */
interface WantedChange {
  readonly zone: string;
  readonly isEvacuation: boolean;
  readonly requests: Set<ProposalId>;
}

/** What the operator knows of a zone. */
interface ZoneRecord {
  /** The last acknowledged state. */
  readonly isEvacuated: boolean;
  /** Time of its acknowledgement. */
  readonly acknowledgedAt: number;
}

export interface EvacuationFixture {
  readonly installation: VirtualInstallation;
  readonly leader: () => string | undefined;
  readonly isolate: (name: string) => void;
  readonly heal: () => void;
  /** Sends the request for a change to a daemon, or to a random store. */
  readonly request: (zone: string, isEvacuation: boolean, daemon?: string) => void;
  /** Sends the current request once more to a random store. */
  readonly double: () => void;
  /** Whether the last change was acknowledged. */
  readonly isIdle: () => boolean;
  /** Number of requests of the operator that were answered as not done. */
  readonly refusals: () => number;
  readonly acknowledgedState: (zone: string) => boolean;
  /** Lets time pass; the operator resends what is not answered. */
  readonly runFor: (duration: number) => void;
  readonly declare: (daemon: string) => void;
  readonly violations: () => readonly string[];
  /** Zones whose state at a running daemon is not the acknowledged one. */
  readonly lackingZones: () => readonly string[];
  /** Sets what happens in the tick in which a daemon acknowledges the next change. */
  readonly whenAcknowledged: (action: (() => void) | undefined) => void;
}

/** Creates the installation and runs it until it has a leader and a declaration. */
export const openEvacuationFixture = (seed: number): EvacuationFixture => {
  const random = createRandom(seed);
  const violations: string[] = [];
  const records = new Map<string, ZoneRecord>();
  let wanted: WantedChange | undefined;
  /** Time at which the last request was sent. */
  let sentAt = 0;
  let refusalCount = 0;
  let requestCount = 0;
  let acknowledgementAction: (() => void) | undefined;
  let version = 1;
  let created: VirtualInstallation | undefined;
  const history = createControlHistory(() => created);

  /** Whether no request may reach the zone: its evacuation was acknowledged long enough ago. */
  const isClosed = (zone: string, now: number): boolean => {
    const record = records.get(zone);
    if (record === undefined || !record.isEvacuated) return false;
    const isWithdrawing = wanted?.zone === zone && !wanted.isEvacuation;
    return !isWithdrawing && now >= record.acknowledgedAt + freshnessMilliseconds;
  };

  const createSender = ({ daemon, now, schedule }: VirtualContext): VirtualPort => {
    const { world } = daemon.core;
    const send = (): void => {
      if (!canSendNewRequests(world, now())) return;
      zones
        .filter((zone) => isPlaceAllowed(world, { zone }, null) && isClosed(zone, now()))
        .forEach((zone) => violations.push(`${daemon.name} sends to ${zone} at ${now()}`));
    };
    const repeat = (): void => schedule(sendIntervalMilliseconds, repeat);
    repeat();
    return { drain: send };
  };

  const handleOutcome = (id: ProposalId, kind: string, now: number): void => {
    if (wanted === undefined || !wanted.requests.has(id)) return;
    if (kind !== 'applied') {
      refusalCount += 1;
      sentAt = Number.NEGATIVE_INFINITY;
      return;
    }
    records.set(wanted.zone, { isEvacuated: wanted.isEvacuation, acknowledgedAt: now });
    wanted = undefined;
    acknowledgementAction?.();
    acknowledgementAction = undefined;
  };

  const createAnswers = ({ daemon, now }: VirtualContext): VirtualPort => {
    const { proposalOutcomes } = daemon.core.world;
    const changes = proposalOutcomes.createChangeReader(RowReader.Port);
    return {
      drain: () =>
        changes.take().forEach((id) => {
          const kind = proposalOutcomes.get(id)?.outcome.kind;
          if (kind !== undefined) handleOutcome(id, kind, now());
        }),
    };
  };

  const installation = createVirtualInstallation({
    deployment: {
      ...createTestDeployment(all.length, stores.length),
      discovery: Discovery.Announced,
    },
    tree: createTestTree(),
    seed,
    profile: Profile.Declaration,
    fleet: {
      ...defaultFleetSettings,
      voterCount: stores.length,
      places: {
        ...defaultPlaceSettings,
        regionByZone: { z1: 'r1', z2: 'r1', z3: 'r2' },
        canEvacuate: true,
      },
    },
    voters: (name, incarnation) => (stores.includes(name) && incarnation === 1 ? stores : []),
    ports: [createSender, createAnswers, history.createPort],
  });
  created = installation;

  const randomStore = (): string | undefined => {
    const running = stores.filter((name) => installation.runningNames().includes(name));
    return running.length === 0 ? undefined : selectRandomElement(random, running);
  };

  const send = (change: WantedChange, daemon: string | undefined): void => {
    sentAt = installation.now();
    if (daemon === undefined) return;
    const world = worldOf(installation, daemon);
    requestCount += 1;
    const id = `request-${requestCount}` as ProposalId;
    change.requests.add(id);
    const create = change.isEvacuation ? createZoneEvacuated : createZoneRestored;
    world.proposals.append({
      id,
      command: create(world, change.zone),
      proposalDeadline: installation.now() + proposalTimeoutMilliseconds,
    });
    installation.wake(daemon);
  };

  const isResendDue = (): boolean => installation.now() - sentAt >= resendMilliseconds;

  const heal = (): void =>
    all.forEach((first) => all.forEach((second) => installation.heal(first, second)));

  const declare = (daemon: string): void => {
    version += 1;
    worldOf(installation, daemon).proposals.append({
      id: `declare-${version}` as ProposalId,
      command: testDeclarationCommand(version),
      proposalDeadline: installation.now() + proposalTimeoutMilliseconds,
    });
    installation.wake(daemon);
  };

  const runFor = (duration: number): void => {
    const end = installation.now() + duration;
    while (installation.now() < end) {
      installation.runFor(Math.min(sendIntervalMilliseconds, end - installation.now()));
      if (wanted !== undefined && isResendDue()) send(wanted, randomStore());
    }
  };

  const isKnownAt = (name: string, zone: string): boolean =>
    isZoneEvacuated(worldOf(installation, name), zone) ===
    (records.get(zone)?.isEvacuated ?? false);

  const fixture: EvacuationFixture = {
    installation,
    leader: () => leaderOf(installation),
    isolate: (name) =>
      all.filter((other) => other !== name).forEach((other) => installation.cut(name, other)),
    heal,
    request: (zone, isEvacuation, daemon = randomStore()) => {
      const change = { zone, isEvacuation, requests: new Set<ProposalId>() };
      wanted = change;
      send(change, daemon);
    },
    double: () => {
      if (wanted !== undefined) send(wanted, randomStore());
    },
    isIdle: () => wanted === undefined,
    refusals: () => refusalCount,
    acknowledgedState: (zone) => records.get(zone)?.isEvacuated ?? false,
    runFor,
    declare,
    violations: () => [...history.violations(), ...new Set(violations)].slice(0, 3),
    lackingZones: () =>
      installation
        .runningNames()
        .flatMap((name) =>
          zones.filter((zone) => !isKnownAt(name, zone)).map((zone) => `${name} ${zone}`),
        ),
    whenAcknowledged: (action) => {
      acknowledgementAction = action;
    },
  };
  installation.runFor(settleMilliseconds);
  declare(leaderOf(installation) ?? stores[0]!);
  installation.runFor(sendIntervalMilliseconds);
  return fixture;
};
