/**
 * Orders for upstreams that may be reclaimed, by service and availability zone. They belong to the leader;
 * each says how many there shall be, so one that is given again changes nothing.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { never, type Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';

export type CapacityOrderId = Brand<'capacityOrder'>;
export const capacityOrderIdOf = (service: string, zone: string): CapacityOrderId =>
  asBrand(`${service}/${zone}`);

export interface CapacityOrderRow {
  readonly id: CapacityOrderId;
  readonly service: string;
  readonly zone: string;
  /** How many there shall be. */
  readonly count: number;
  /** What the platform has accepted; null where this leader has given no order. */
  readonly accepted: number | null;
  readonly fencing: number;
  readonly isInFlight: boolean;
  /** When it is given, or given again. */
  readonly sendDeadline: Instant;
}

/** Places that the items of a service asked for, at most, in the present and the last stretch of time. */
export interface CapacityDemandRow {
  readonly id: Brand<'capacityDemand'>;
  readonly service: string;
  readonly peak: number;
  /** Null in the first stretch of a leader. */
  readonly earlierPeak: number | null;
  readonly rotationDeadline: Instant;
}

/** When demand is looked at again. */
export interface CapacityClockRow {
  readonly id: Brand<'capacityClock'>;
  readonly checkDeadline: Instant;
}

/** What became of giving an order. */
export type CapacityOrderResult =
  | { readonly kind: 'accepted'; readonly id: CapacityOrderId; readonly count: number }
  | { readonly kind: 'failed'; readonly id: CapacityOrderId; readonly reason: string };

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
  capacityFacts: createRowQueue<CapacityOrderResult>('capacityFacts', RowReader.System),
});
