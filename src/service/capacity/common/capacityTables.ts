/**
 * Orders for reclaimable upstreams by service and availability zone. The rows are local to the
 * leader. Each order states the total number of upstreams, so that resending it is idempotent.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { never, type Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import type { Homes } from '../../places/common/homes.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';

/** Identifier of a capacity order: its service and availability zone. */
export type CapacityOrderId = Brand<'capacityOrder'>;
export const capacityOrderIdOf = (service: string, zone: string): CapacityOrderId =>
  asBrand(`${service}/${zone}`);

/** The order for the reclaimable upstreams of a service in one availability zone. */
export interface CapacityOrderRow {
  readonly id: CapacityOrderId;
  readonly service: string;
  readonly zone: string;
  /** Desired total number of reclaimable upstreams in the zone. */
  readonly count: number;
  /** Number that the platform last accepted; null if it has accepted no order of this leader. */
  readonly accepted: number | null;
  readonly fencing: number;
  readonly isInFlight: boolean;
  /** Time at which the order is sent or resent. */
  readonly sendDeadline: Instant;
}

/**
 * Peak number of concurrent items of a service with the same home regions, in the current and in the
 * previous window of time.
 */
export interface CapacityDemandRow {
  readonly id: Brand<'capacityDemand'>;
  readonly service: string;
  readonly homes: Homes;
  readonly peak: number;
  /** Peak of the previous window; null in the first window of a leader. */
  readonly earlierPeak: number | null;
  readonly rotationDeadline: Instant;
}

/** The single row with the time of the next measurement of demand. */
export interface CapacityClockRow {
  readonly id: Brand<'capacityClock'>;
  readonly checkDeadline: Instant;
}

/** Result of sending an order to the platform, as reported by the port. */
export type CapacityOrderFact =
  | { readonly kind: 'accepted'; readonly id: CapacityOrderId; readonly count: number }
  | { readonly kind: 'failed'; readonly id: CapacityOrderId; readonly reason: string };

/** Creates the tables and queues of capacity orders. */
export const createCapacityTables = () => ({
  capacityOrders: createTable<CapacityOrderRow, never, 'send'>({
    name: 'capacityOrders',
    indices: {},
    deadlines: { send: (row) => (row.isInFlight ? never : row.sendDeadline) },
  }),
  capacityDemands: createTable<CapacityDemandRow, never, 'rotation'>({
    name: 'capacityDemands',
    indices: {},
    deadlines: { rotation: (row) => row.rotationDeadline },
  }),
  capacityClock: createTable<CapacityClockRow, never, 'check'>({
    name: 'capacityClock',
    indices: {},
    deadlines: { check: (row) => row.checkDeadline },
  }),
  capacityFacts: createRowQueue<CapacityOrderFact>('capacityFacts', RowReader.System),
});
