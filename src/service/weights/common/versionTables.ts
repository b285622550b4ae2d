/**
 * Weight versions: what trainers have named is agreed; which engine loads which model, and the orders
 * that are open, belong to the leader.
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

/** What becomes of requests that run while an engine changes its weights. */
export const InFlightPolicy = {
  /** They finish first. */
  Finish: 'finish',
  /** They go on under the new weights. */
  Continue: 'continue',
} as const;
export type InFlightPolicy = ValueOf<typeof InFlightPolicy>;

export type WeightOrderName = Brand<'weightOrder'>;

/** An order to an engine that is open: not yet answered, or being carried out. */
export interface WeightOrderRow {
  readonly id: UpstreamId;
  /** Tells this order from an earlier one to the same engine. */
  readonly order: WeightOrderName;
  readonly model: string;
  readonly version: number;
  readonly inFlightPolicy: InFlightPolicy;
  readonly fencing: number;
  /** From when on an engine that accepted it should hold the version; never before it has. */
  readonly loadedDeadline: Instant;
  /** When it is given up; the reports of the engine then decide whether there is another. */
  readonly orderDeadline: Instant;
}

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
