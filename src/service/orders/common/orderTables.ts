/**
 * The tables of orders to upstreams: the replicated intents, the attempts that are local to the
 * leader, and the queues to and from the port.
 */
import type { Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { EngineOrder } from '../../protocol/common/engineProtocol.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { OrderClosed } from './orderCommands.js';

/** Identifier of an order; unique among the intents that are kept. */
export type OrderId = Brand<'order'>;

/** An order in the replicated state. */
export interface IntentRow {
  readonly id: OrderId;
  /** Log index of the order, which is also its fencing token. */
  readonly index: number;
  readonly upstream: UpstreamId;
  readonly action: EngineOrder['action'];
  readonly target: EngineOrder['target'];
  readonly result: OrderClosed['result'] | null;
}

/** Phases of executing an order. */
export const OrderPhase = {
  /** The outcome is unknown; the state of the upstream is read before the order is resent. */
  ReadBack: 'readBack',
  Send: 'send',
  /** The order may have been written, and its answer is pending. */
  Sent: 'sent',
  /** The result is known, and its commit to the log is pending. */
  Close: 'close',
} as const;
export type OrderPhase = ValueOf<typeof OrderPhase>;

/** The leader's progress in executing one order; local to the leader. */
export interface OrderAttemptRow {
  readonly id: OrderId;
  readonly phase: OrderPhase;
  readonly result: OrderClosed['result'] | null;
  /** Time at which the next step of the phase is due. */
  readonly stepDeadline: Instant;
}

/** A request to the port, which checks the lease again immediately before it writes. */
export type OrderRequest =
  | {
      readonly kind: 'send';
      readonly order: OrderId;
      readonly address: string;
      readonly body: EngineOrder;
    }
  | { readonly kind: 'readBack'; readonly order: OrderId; readonly address: string };

/** The result of a request, as reported by the port. */
export type OrderFact =
  | { readonly kind: 'done'; readonly order: OrderId }
  | { readonly kind: 'refused'; readonly order: OrderId }
  /** Nothing was written, because the lease had expired or there was no connection. */
  | { readonly kind: 'notSent'; readonly order: OrderId }
  /** At least one byte was written, but no answer was received. */
  | { readonly kind: 'unknown'; readonly order: OrderId }
  | {
      readonly kind: 'state';
      readonly order: OrderId;
      readonly ordersDone: readonly string[];
    };

/** Creates the tables and queues of orders. */
export const createOrderTables = () => ({
  intents: createTable<IntentRow, 'openUpstream'>({
    name: 'intents',
    indices: { openUpstream: (row) => (row.result === null ? row.upstream : undefined) },
    deadlines: {},
  }),
  orderAttempts: createTable<OrderAttemptRow, never, 'step'>({
    name: 'orderAttempts',
    indices: {},
    deadlines: { step: (row) => row.stepDeadline },
  }),
  orderRequests: createRowQueue<OrderRequest>('orderRequests', RowReader.Port),
  orderFacts: createRowQueue<OrderFact>('orderFacts', RowReader.System),
});
