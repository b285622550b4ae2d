/**
 * A fake upstream that executes orders on virtual time. An order arrives after a delay, is executed
 * once per identifier and is answered. All sent and executed orders of the run are recorded.
 */
import { dispatchByKind, type HandlerTable } from '../../src/base/common/handlers.js';
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import { canActAsLeader } from '../../src/service/consensus/common/lease.js';
import type { OrderFact, OrderRequest } from '../../src/service/orders/common/orderTables.js';
import { createFencingCheck } from '../common/fencing.js';
import type { VirtualContext, VirtualInstallation, VirtualPort } from './virtualInstallation.js';

/** An order that a daemon has sent. */
export interface SentOrder {
  readonly daemon: string;
  readonly order: string;
  readonly at: Instant;
}

/** An order that the upstream has executed. */
export interface ExecutedOrder {
  readonly order: string;
  readonly target: string | number;
  readonly fencing: number;
}

export interface OrderFaults {
  /** Milliseconds from sending an order until it arrives. */
  flight: Milliseconds;
  /** Whether answers to orders are dropped. */
  dropsAnswers: boolean;
}

export interface VirtualOrders {
  readonly createPort: (context: VirtualContext) => VirtualPort;
  readonly sentOrders: readonly SentOrder[];
  readonly done: readonly ExecutedOrder[];
  readonly faults: OrderFaults;
}

const defaultFlightMilliseconds: Milliseconds = 5;

/** Creates one upstream that executes orders, and the ports through which daemons reach it. */
export const createVirtualOrders = (
  getSchedule: () => VirtualInstallation['schedule'],
  checksFencing: boolean,
): VirtualOrders => {
  const sentOrders: SentOrder[] = [];
  const executedOrders: ExecutedOrder[] = [];
  const fencing = createFencingCheck(checksFencing);
  const faults: OrderFaults = { flight: defaultFlightMilliseconds, dropsAnswers: false };

  const handleOrder = ({ order, fencing: number, target }: ExecutedOrder): 'done' | 'refused' => {
    if (executedOrders.some((row) => row.order === order)) return 'done';
    if (!fencing.admits(number)) return 'refused';
    executedOrders.push({ order, fencing: number, target });
    return 'done';
  };

  const createPort = (context: VirtualContext): VirtualPort => {
    const { world } = context.daemon.core;

    const sendResult = (result: OrderFact): void => {
      if (faults.dropsAnswers) return;
      context.schedule(defaultFlightMilliseconds, () => world.orderFacts.append(result));
    };

    const handlers: HandlerTable<OrderRequest, void> = {
      send: ({ order, body }) => {
        sentOrders.push({ daemon: context.daemon.name, order, at: context.now() });
        // The order arrives even if its sender is stopped or frozen in the meantime.
        getSchedule()(faults.flight, () => sendResult({ kind: handleOrder(body), order }));
      },
      readBack: ({ order }) =>
        getSchedule()(defaultFlightMilliseconds, () =>
          sendResult({ kind: 'state', order, ordersDone: executedOrders.map((row) => row.order) }),
        ),
    };

    const executeRequest = (orderRequest: OrderRequest): void => {
      if (canActAsLeader(world, context.now())) dispatchByKind(handlers, orderRequest);
      else sendResult({ kind: 'notSent', order: orderRequest.order });
    };

    return { drain: () => world.orderRequests.takeAll().forEach(executeRequest) };
  };

  return { createPort, sentOrders, done: executedOrders, faults };
};

/** Announces the upstream to a daemon once, for longer than any test runs. */
export const announceOrderUpstream = ({ daemon }: VirtualContext): VirtualPort => {
  daemon.core.world.arrivedAnnouncements.append({
    isDirect: false,
    announcement: {
      upstream: 'engine',
      kind: 'engine',
      service: 'model',
      address: 'http://127.0.0.1:1',
      zone: 'z1',
      incarnation: 1,
      state: 'serving',
      models: [],
      adapters: [],
      weightVersion: null,
      reclaimable: false,
      checksFencing: true,
      resumesStreams: false,
      slots: 1,
      running: 0,
      remaining: Number.MAX_SAFE_INTEGER,
    },
  });
  return { drain: () => {} };
};
