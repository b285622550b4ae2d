/**
 * Maps changed rows of the rollout tables to the lots that they belong to, so that systems process
 * only lots that have changed since their last tick.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { LotId, SampleId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';

/** Tables whose changes can be mapped to lots. */
type WatchedTable = 'lots' | 'samples' | 'sampleRuns' | 'lotWindows' | 'bodyCopies' | 'fetches';

/** Returns the lots whose rows have changed since the last call, without duplicates. */
export interface LotWatcher {
  readonly takeChanges: () => ReadonlySet<LotId>;
}

/**
 * A sample identifier starts with its lot identifier, so the lot of a removed row can still be
 * derived.
 */
const lotIdOfSample = (sample: SampleId): LotId => asBrand(sample.split('/')[0]!);

type CreateChangeReader = (world: World) => () => readonly LotId[];

/** For each table, creates a reader that maps its changes to lots. */
const changeReaderFactories: Readonly<Record<WatchedTable, CreateChangeReader>> = {
  lots: (world) => {
    const changes = world.lots.createChangeReader();
    return () => changes.take();
  },
  samples: (world) => {
    const changes = world.samples.createChangeReader();
    return () => changes.take().map(lotIdOfSample);
  },
  sampleRuns: (world) => {
    const changes = world.sampleRuns.createChangeReader();
    return () => changes.take().map(lotIdOfSample);
  },
  lotWindows: (world) => {
    const changes = world.lotWindows.createChangeReader();
    return () => changes.take();
  },
  bodyCopies: (world) => {
    const changes = world.bodyCopies.createChangeReader();
    return () => changes.take().flatMap((id) => world.bodyCopies.get(id)?.lot ?? []);
  },
  fetches: (world) => {
    const changes = world.fetches.createChangeReader();
    return () => changes.take().flatMap((id) => world.fetches.get(id)?.lot ?? []);
  },
};

/** Creates a watcher over the given tables. */
export const createLotWatcher = (world: World, tables: readonly WatchedTable[]): LotWatcher => {
  const changeReaders = tables.map((table) => changeReaderFactories[table](world));
  return { takeChanges: () => new Set(changeReaders.flatMap((take) => take())) };
};
