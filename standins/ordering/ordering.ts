/**
 * A stand-in for the platform service that orders upstreams by availability zone. It records every
 * order, checks fencing tokens, executes each order once per id and can simulate zones without
 * capacity.
 */
import { Hono } from 'hono';
import { asBrand, type Brand } from '../../src/base/common/brand.js';
import { createTable } from '../../src/infrastructure/tables/common/table.js';
import {
  upstreamOrderSchema,
  upstreamOrdersPath,
  type UpstreamOrder,
} from '../../src/service/protocol/common/platformProtocol.js';
import { createFencingCheck, createFencingRefusal } from '../common/fencing.js';
import { cutConnection, listen, type StandInEnvironment } from '../common/httpListener.js';
import { parseJson } from '../common/json.js';
import { createFaultScript, FaultScope, type FaultScriptEntry } from '../faults/faultScript.js';
import { planOf } from '../faults/faults.js';

/** Settings of an ordering stand-in. */
export interface OrderingSettings {
  /** Port to listen on; 0 selects a free port. */
  readonly port: number;
  readonly checksFencing: boolean;
  readonly faults: readonly FaultScriptEntry[];
}

const defaultOrderingSettings: OrderingSettings = { port: 0, checksFencing: true, faults: [] };

/** The outcome of an order. */
export type UpstreamOrderOutcome =
  | { readonly kind: 'done'; readonly order: string }
  | { readonly kind: 'differentOrder'; readonly message: string }
  | { readonly kind: 'zoneUnavailable'; readonly message: string }
  | ReturnType<typeof createFencingRefusal>;

/** A received order with its outcome; rows are in the order of arrival. */
export interface ReceivedOrderRow extends UpstreamOrder {
  readonly id: Brand<'receivedOrder'>;
  readonly outcome: UpstreamOrderOutcome['kind'];
}

/** The currently desired number of upstreams of a service in a zone. */
export type DesiredUpstreams = Pick<UpstreamOrder, 'zone' | 'service' | 'reclaimable' | 'count'>;

/** A running ordering stand-in. */
export interface OrderingStandIn {
  /** Base address. */
  readonly address: string;
  readonly counters: () => Readonly<Record<UpstreamOrderOutcome['kind'], number>>;
  /** Every received order, including repeated ones. */
  readonly received: () => readonly ReceivedOrderRow[];
  /** The current counts by zone, service and whether the VMs are reclaimable. */
  readonly desired: () => readonly DesiredUpstreams[];
  /** Sets whether a zone has capacity; zones have capacity by default. */
  readonly setZoneAvailable: (zone: string, isAvailable: boolean) => void;
  readonly addFault: (entry: FaultScriptEntry) => void;
  readonly dispose: () => Promise<void>;
}

interface ExecutedOrderRow extends UpstreamOrder {
  readonly id: Brand<'doneOrder'>;
}

interface DesiredRow extends DesiredUpstreams {
  readonly id: Brand<'wantedUpstreams'>;
}

const outcomeStatuses = {
  done: 200,
  differentOrder: 409,
  olderFencing: 409,
  zoneUnavailable: 503,
} as const;

const createTables = () => ({
  received: createTable<ReceivedOrderRow, 'outcome'>({
    name: 'receivedOrders',
    indices: { outcome: (row) => row.outcome },
    deadlines: {},
  }),
  done: createTable<ExecutedOrderRow>({ name: 'doneOrders', indices: {}, deadlines: {} }),
  desired: createTable<DesiredRow>({ name: 'wantedUpstreams', indices: {}, deadlines: {} }),
});

const serializeOrder = ({ zone, service, reclaimable, count }: UpstreamOrder): string =>
  JSON.stringify([zone, service, reclaimable, count]);

/** Starts an ordering stand-in. */
export const startOrdering = async (
  overrides: Partial<OrderingSettings> = {},
): Promise<OrderingStandIn> => {
  const settings: OrderingSettings = { ...defaultOrderingSettings, ...overrides };
  const tables = createTables();
  const fencing = createFencingCheck(settings.checksFencing);
  const script = createFaultScript(settings.faults);
  const unavailableZones = new Set<string>();

  const handleRepeatedOrder = (
    earlierOrder: ExecutedOrderRow,
    order: UpstreamOrder,
  ): UpstreamOrderOutcome => {
    if (serializeOrder(earlierOrder) === serializeOrder(order))
      return { kind: 'done', order: order.order };
    const message = `Order ${order.order} was executed with different content; use a new id.`;
    return { kind: 'differentOrder', message };
  };

  const executeOrder = (order: UpstreamOrder): UpstreamOrderOutcome => {
    const { zone, service, reclaimable, count } = order;
    const desiredId = JSON.stringify([zone, service, reclaimable]);
    tables.desired.put({ id: asBrand(desiredId), zone, service, reclaimable, count });
    tables.done.put({ ...order, id: asBrand(order.order) });
    return { kind: 'done', order: order.order };
  };

  const handleOrder = (order: UpstreamOrder): UpstreamOrderOutcome => {
    const earlierOrder = tables.done.get(asBrand(order.order));
    if (earlierOrder !== undefined) return handleRepeatedOrder(earlierOrder, order);
    if (!fencing.admits(order.fencing))
      return createFencingRefusal(order.fencing, fencing.highest());
    if (!unavailableZones.has(order.zone)) return executeOrder(order);
    const message = `Zone ${order.zone} has no capacity; order in another zone.`;
    return { kind: 'zoneUnavailable', message };
  };

  const application = new Hono<StandInEnvironment>();
  application.post(upstreamOrdersPath, async (context) => {
    const order = upstreamOrderSchema.safeParse(parseJson(await context.req.text()));
    if (!order.success) {
      return context.json(
        { kind: 'badRequest', message: `The order is invalid; correct it: ${order.error.message}` },
        400,
      );
    }
    const number = tables.received.size() + 1;
    const fault = script.takeFault(FaultScope.Order, number, order.data.order);
    const outcome = handleOrder(order.data);
    tables.received.put({ ...order.data, id: asBrand(String(number)), outcome: outcome.kind });
    if (planOf(fault).losesAnswer) return cutConnection(context.env);
    return context.json(outcome, outcomeStatuses[outcome.kind]);
  });
  const listener = await listen(application, settings.port);

  return {
    address: listener.address,
    counters: () => ({
      done: tables.received.count('outcome', 'done'),
      differentOrder: tables.received.count('outcome', 'differentOrder'),
      olderFencing: tables.received.count('outcome', 'olderFencing'),
      zoneUnavailable: tables.received.count('outcome', 'zoneUnavailable'),
    }),
    received: () => [...tables.received.rows()],
    desired: () =>
      Array.from(tables.desired.rows(), ({ zone, service, reclaimable, count }) => ({
        zone,
        service,
        reclaimable,
        count,
      })),
    setZoneAvailable: (zone, isAvailable) => {
      if (isAvailable) unavailableZones.delete(zone);
      else unavailableZones.add(zone);
    },
    addFault: script.add,
    dispose: listener.dispose,
  };
};
