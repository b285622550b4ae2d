/**
 * Upstreams that take orders, on virtual time: an order arrives after a flight, is carried out once by
 * its identifier, and answered. The history tells who wrote and what was carried out, over the whole run.
 */
import { dispatchByKind, type HandlerTable } from '../../src/base/common/handlers.js';
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import { canActAsLeader } from '../../src/service/consensus/common/lease.js';
import type { OrderResult, OrderRequest } from '../../src/service/orders/common/orderTables.js';
import { createFencingCheck } from '../common/fencing.js';
import type { VirtualContext, VirtualInstallation, VirtualPort } from './virtualInstallation.js';

/** An order that a daemon has written. */
export interface SentOrder {
  readonly daemon: string;
  readonly order: string;
  readonly at: Instant;
}

/** An order that an upstream has carried out. */
export interface ExecutedOrder {
  readonly order: string;
  readonly target: string | number;
  readonly fencing: number;
}

export interface OrderFaults {
  /** How long the next order is on its way. */
  flight: Milliseconds;
  /** Answers are lost. */
  dropsAnswers: boolean;
}

export interface VirtualOrders {
  readonly port: (context: VirtualContext) => VirtualPort;
  readonly sentOrders: readonly SentOrder[];
  readonly done: readonly ExecutedOrder[];
  readonly faults: OrderFaults;
}

const defaultFlightMilliseconds: Milliseconds = 5;

/** Creates one upstream that takes orders, and the ports of all daemons to it. */
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

    const sendResult = (fact: OrderResult): void => {
      if (faults.dropsAnswers) return;
      context.schedule(defaultFlightMilliseconds, () => world.orderFacts.append(fact));
    };

    const handlers: HandlerTable<OrderRequest, void> = {
      send: ({ order, body }) => {
        sentOrders.push({ daemon: context.daemon.name, order, at: context.now() });
        // The order goes on although its sender may end or be frozen.
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

  return { port: createPort, sentOrders, done: executedOrders, faults };
};

/** Lets a daemon know of the upstream for as long as any test runs. */
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
