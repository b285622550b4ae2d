/**
 * Orders to upstreams: the agreed intents, what the leader does about them, and the queues of its port.
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

export type OrderId = Brand<'order'>;

/** An order in the agreed state. */
export interface IntentRow {
  readonly id: OrderId;
  /** Its position in the log, which is its fencing number. */
  readonly index: number;
  readonly upstream: UpstreamId;
  readonly action: EngineOrder['action'];
  readonly target: EngineOrder['target'];
  readonly result: OrderClosed['result'] | null;
}

export const OrderPhase = {
  /** Its outcome is unknown; the state of the upstream is read first. */
  ReadBack: 'readBack',
  Send: 'send',
  /** It may have been written, and its answer is awaited. */
  Sent: 'sent',
  /** Its outcome is known and on its way into the log. */
  Close: 'close',
} as const;
export type OrderPhase = ValueOf<typeof OrderPhase>;

/** What the leader does about one order; kept by the leader alone. */
export interface OrderAttemptRow {
  readonly id: OrderId;
  readonly phase: OrderPhase;
  readonly result: OrderClosed['result'] | null;
  /** When the next step of the phase is due. */
  readonly stepDeadline: Instant;
}

/** What the port is asked to do; it checks the lease again right before it writes. */
export type OrderRequest =
  | {
      readonly kind: 'send';
      readonly order: OrderId;
      readonly address: string;
      readonly body: EngineOrder;
    }
  | { readonly kind: 'readBack'; readonly order: OrderId; readonly address: string };

/** What the port reports. */
export type OrderResult =
  | { readonly kind: 'done'; readonly order: OrderId }
  | { readonly kind: 'refused'; readonly order: OrderId }
  /** No byte was written: the lease had run out, or there was no connection. */
  | { readonly kind: 'notSent'; readonly order: OrderId }
  /** Something was written and no answer came. */
  | { readonly kind: 'unknown'; readonly order: OrderId }
  | {
      readonly kind: 'state';
      readonly order: OrderId;
      readonly ordersDone: readonly string[];
    };

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
  orderFacts: createRowQueue<OrderResult>('orderFacts', RowReader.System),
});
