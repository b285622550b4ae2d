/**
 * A model engine stand-in over loopback HTTP. It streams deterministic text, executes orders,
 * announces itself, injects scripted faults and records every request that it received.
 */
import { deadlineAfter, never, remainingUntil } from '../../src/base/common/time.js';
import { monotonicClock } from '../../src/base/node/monotonicClock.js';
import type { EngineOrder, EngineState } from '../../src/service/protocol/common/engineProtocol.js';
import {
  UpstreamKind,
  UpstreamState,
  type Announcement,
} from '../../src/service/protocol/common/upstreamProtocol.js';
import { createAnnouncer, type AnnouncementCounter } from '../announcing/announcer.js';
import { createCounters } from '../common/counters.js';
import { listen } from '../common/httpListener.js';
import { startLoop } from '../common/nodeLoop.js';
import { createFaultScript, type FaultScriptEntry } from '../faults/faultScript.js';
import { createEngineIntake } from './engineIntake.js';
import { createEngineOrders } from './engineOrders.js';
import { createEnginePort } from './enginePort.js';
import { createEngineRoutes } from './engineRoutes.js';
import {
  defaultEngineSettings,
  engineCounterNames,
  type EngineCounter,
  type EngineSettings,
} from './engineSettings.js';
import {
  countRunning,
  createAdmission,
  createConditionWatch,
  createGeneration,
  createRetention,
} from './engineSystems.js';
import {
  createConditionTable,
  createOrderTable,
  createOutputTable,
  createRequestTable,
  type EngineRequestRow,
} from './engineTables.js';

/** A running model engine stand-in. */
export interface EngineStandIn {
  /** Base address. */
  readonly address: string;
  readonly counters: () => Readonly<Record<EngineCounter | AnnouncementCounter, number>>;
  /** The received requests, oldest first, up to the record limit. */
  readonly requests: () => readonly EngineRequestRow[];
  /** The executed orders, oldest first. */
  readonly orders: () => readonly EngineOrder[];
  readonly state: () => EngineState;
  readonly addFault: (entry: FaultScriptEntry) => void;
  /** Announces the engine to the entries with these base addresses until it is disposed of. */
  readonly announceTo: (addresses: readonly string[]) => void;
  /** Starts draining and announces it immediately. */
  readonly drain: () => void;
  /** Announces immediately that its VM terminates after `remaining` milliseconds. */
  readonly leave: (remaining: number) => void;
  /** Cuts all open requests and continues as a new incarnation with the same weights. */
  readonly restart: () => void;
  readonly dispose: () => Promise<void>;
}

const minimumRemainingMilliseconds = 1; // an announcement must have a positive lifetime

/** Starts a model engine stand-in. */
export const startEngine = async (
  overrides: Partial<EngineSettings> = {},
): Promise<EngineStandIn> => {
  const settings: EngineSettings = { ...defaultEngineSettings, ...overrides };
  const condition = createConditionTable(settings);
  const requests = createRequestTable();
  const outputs = createOutputTable();
  const executedOrders = createOrderTable();
  const counters = createCounters<EngineCounter>(engineCounterNames);
  const script = createFaultScript(settings.faults);
  const orders = createEngineOrders(condition, executedOrders, settings.checksFencing, counters);
  const port = createEnginePort(requests, outputs);
  const world = { settings, condition, requests, outputs, counters };
  let address = '';

  const getRemainingLifetime = (): number => {
    const { terminationDeadline } = condition.read();
    if (terminationDeadline === never) return settings.announcementLifetime;
    return Math.max(
      minimumRemainingMilliseconds,
      remainingUntil(terminationDeadline, monotonicClock()),
    );
  };

  const createAnnouncement = (): Announcement => {
    const { incarnation, state, models, adapters, weightVersion } = condition.read();
    return {
      upstream: settings.name,
      kind: UpstreamKind.Engine,
      service: settings.service,
      address,
      zone: settings.zone,
      incarnation,
      state,
      models: [...models],
      adapters: [...adapters],
      weightVersion,
      reclaimable: settings.isReclaimable,
      checksFencing: settings.checksFencing,
      resumesStreams: true,
      slots: settings.slots,
      running: countRunning(requests),
      remaining: getRemainingLifetime(),
    };
  };

  const announcer = createAnnouncer(createAnnouncement, settings.announcementLifetime);
  const systems = [
    createAdmission(world),
    createGeneration(world),
    port.system,
    createRetention(world),
    createConditionWatch(world, announcer.announceNow),
  ];
  const loop = startLoop([requests, outputs, condition.table], systems);
  const intake = createEngineIntake(requests, counters, script, loop.wake);
  const routes = createEngineRoutes({ intake, port, orders, script, wake: loop.wake });
  const listener = await listen(routes, settings.port);
  address = listener.address;

  const changeCondition: typeof condition.change = (columns) => {
    condition.change(columns);
    loop.wake();
  };

  return {
    address,
    counters: () => ({ ...counters.read(), ...announcer.counters() }),
    requests: () => [...requests.rows()],
    orders: () => [...executedOrders.rows()],
    state: orders.state,
    addFault: script.add,
    announceTo: announcer.announceTo,
    drain: () => changeCondition({ state: UpstreamState.Draining }),
    leave: (milliseconds) =>
      changeCondition({
        state: UpstreamState.Leaving,
        terminationDeadline: deadlineAfter(monotonicClock(), milliseconds),
      }),
    restart: () => {
      intake.crashOpenRequests();
      port.cutAllConnections();
      const incarnation = condition.read().incarnation + 1;
      changeCondition({ incarnation, state: UpstreamState.Serving, terminationDeadline: never });
    },
    dispose: async () => {
      await announcer.dispose();
      loop.dispose();
      await listener.dispose();
    },
  };
};
