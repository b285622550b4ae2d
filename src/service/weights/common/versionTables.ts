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

/** Phases of an order to an engine. */
export const WeightOrderPhase = {
  /**
   * The state of the engine is read. An engine that answers has read the orders of earlier leaders
   * that had reached it.
   */
  Read: 'read',
  /** The order is sent, and may be in execution. */
  Send: 'send',
} as const;
export type WeightOrderPhase = ValueOf<typeof WeightOrderPhase>;

export type WeightOrderName = Brand<'weightOrder'>;

/** An open order to an engine: not yet answered, or in execution. */
export interface WeightOrderRow {
  readonly id: UpstreamId;
  /** Distinguishes this order from an earlier one to the same engine. */
  readonly order: WeightOrderName;
  readonly phase: WeightOrderPhase;
  /**
   * Number of orders that the engine had accepted when its state was read; 0 before. It refuses an
   * order that it carries out after another one.
   */
  readonly acceptedOrders: number;
  readonly model: string;
  readonly version: number;
  readonly inFlightPolicy: InFlightPolicy;
  readonly fencing: number;
  /** Time at which an engine that accepted the order should hold the version; otherwise `never`. */
  readonly loadedDeadline: Instant;
  /** Time at which the order expires; the engine's reports then decide whether it is repeated. */
  readonly orderDeadline: Instant;
}

/** What an engine says of its orders. */
export interface EngineOrderState {
  /** Number of orders that it has accepted since its start. */
  readonly acceptedOrders: number;
  /** Whether an order is in execution. */
  readonly isBusy: boolean;
}

/** Outcome of sending an order to an engine. */
export type WeightOrderOutcome = 'accepted' | 'held' | 'refused' | 'unknown';

/** What the port reports of the current phase of an order. */
export type WeightOrderReport =
  | { readonly kind: WeightOrderOutcome }
  | ({ readonly kind: 'read' } & EngineOrderState)
  /** The engine has not told its state in time, or not in a form that can be read. */
  | { readonly kind: 'notRead' };

export type WeightOrderFact = WeightOrderReport & {
  readonly upstream: UpstreamId;
  readonly order: WeightOrderName;
};

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
