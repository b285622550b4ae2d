/**
 * Tables of weight versions. The versions that trainers have named are replicated; the placement
 * of engines and the open weight orders exist only on the leader.
 */
import type { Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { UpstreamId } from '../../world/common/identifiers.js';

/** The newest weight version of a model. */
export interface ModelVersionRow {
  readonly id: Brand<'model'>;
  readonly version: number;
}

/** The model whose new versions an engine loads. */
export interface PlacementRow {
  readonly id: UpstreamId;
  readonly model: string;
}

/** How an engine handles its running requests when it swaps weights. */
export const InFlightPolicy = {
  /** The requests finish before the swap. */
  Finish: 'finish',
  /** The requests continue with the new weights. */
  Continue: 'continue',
} as const;
export type InFlightPolicy = ValueOf<typeof InFlightPolicy>;

export type WeightOrderName = Brand<'weightOrder'>;

/** An open order to an engine: not yet answered, or in execution. */
export interface WeightOrderRow {
  readonly id: UpstreamId;
  /** Distinguishes this order from an earlier one to the same engine. */
  readonly order: WeightOrderName;
  readonly model: string;
  readonly version: number;
  readonly inFlightPolicy: InFlightPolicy;
  readonly fencing: number;
  /** Time at which an engine that accepted the order should hold the version; otherwise `never`. */
  readonly loadedDeadline: Instant;
  /** Time at which the order expires; the engine's reports then decide whether it is repeated. */
  readonly orderDeadline: Instant;
}

/** Outcome of sending an order to an engine, as reported by the port. */
export interface WeightOrderFact {
  readonly upstream: UpstreamId;
  readonly order: WeightOrderName;
  readonly kind: 'accepted' | 'held' | 'refused' | 'unknown';
}

export const createVersionTables = () => ({
  modelVersions: createTable<ModelVersionRow>({
    name: 'modelVersions',
    indices: {},
    deadlines: {},
  }),
  placements: createTable<PlacementRow, 'model'>({
    name: 'placements',
    indices: { model: (row) => row.model },
    deadlines: {},
  }),
  weightOrders: createTable<WeightOrderRow, never, 'order' | 'loaded'>({
    name: 'weightOrders',
    indices: {},
    deadlines: { order: (row) => row.orderDeadline, loaded: (row) => row.loadedDeadline },
  }),
  weightOrderFacts: createRowQueue<WeightOrderFact>('weightOrderFacts', RowReader.System),
});
