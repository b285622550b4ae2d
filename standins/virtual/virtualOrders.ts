/**
 * Upstreams that take orders, on virtual time: an order arrives after a flight, is carried out once by
 * its identifier, and answered. The history tells who wrote and what was carried out, over the whole run.
 */
import { dispatchByKind, type HandlerTable } from '../../src/base/common/handlers.js';
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import { canActAsLeader } from '../../src/service/consensus/common/lease.js';
import type { OrderFact, OrderRequest } from '../../src/service/orders/common/orderTables.js';
import { createFencingCheck } from '../common/fencing.js';
import type { VirtualContext, VirtualInstallation, VirtualPort } from './virtualInstallation.js';

/** An order that a daemon has written. */
export interface WrittenOrder {
  readonly daemon: string;
  readonly order: string;
  readonly at: Instant;
}

/** An order that an upstream has carried out. */
export interface DoneOrder {
  readonly order: string;
  readonly target: string | number;
  readonly fencing: number;
}

export interface OrderFaults {
  /** How long the next order is on its way. */
  flight: Milliseconds;
  /** Answers are lost. */
  losesAnswers: boolean;
}

export interface VirtualOrders {
  readonly port: (context: VirtualContext) => VirtualPort;
  readonly written: readonly WrittenOrder[];
  readonly done: readonly DoneOrder[];
  readonly faults: OrderFaults;
}

const defaultFlight: Milliseconds = 5;

/** Creates one upstream that takes orders, and the ports of all daemons to it. */
export const createVirtualOrders = (
  schedule: () => VirtualInstallation['schedule'],
  checksFencing: boolean,
): VirtualOrders => {
  const written: WrittenOrder[] = [];
  const done: DoneOrder[] = [];
  const fencing = createFencingCheck(checksFencing);
  const faults: OrderFaults = { flight: defaultFlight, losesAnswers: false };

  const take = ({ order, fencing: number, target }: DoneOrder): 'done' | 'refused' => {
    if (done.some((row) => row.order === order)) return 'done';
    if (!fencing.admits(number)) return 'refused';
    done.push({ order, fencing: number, target });
    return 'done';
  };

  const createPort = (context: VirtualContext): VirtualPort => {
    const { world } = context.daemon.core;

    const answer = (fact: OrderFact): void => {
      if (faults.losesAnswers) return;
      context.schedule(defaultFlight, () => world.orderFacts.append(fact));
    };

    const handlers: HandlerTable<OrderRequest, void> = {
      send: ({ order, body }) => {
        written.push({ daemon: context.daemon.name, order, at: context.now() });
        // The order goes on although its sender may end or be frozen.
        schedule()(faults.flight, () => answer({ kind: take(body), order }));
      },
      readBack: ({ order }) =>
        schedule()(defaultFlight, () =>
          answer({ kind: 'state', order, ordersDone: done.map((row) => row.order) }),
        ),
    };

    const carryOut = (asked: OrderRequest): void => {
      if (canActAsLeader(world, context.now())) dispatchByKind(handlers, asked);
      else answer({ kind: 'notSent', order: asked.order });
    };

    return { drain: () => world.orderRequests.takeAll().forEach(carryOut) };
  };

  return { port: createPort, written, done, faults };
};

/** Lets a daemon know of the upstream for as long as any test runs. */
export const announceOrderedUpstream = ({ daemon }: VirtualContext): VirtualPort => {
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
