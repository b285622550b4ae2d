/**
 * Tells which lots have changed since it was last asked, by the rows that belong to them.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { LotId, SampleId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';

/** The tables whose changes can be watched. */
type WatchedTable = 'lots' | 'samples' | 'sampleRuns' | 'lotWindows' | 'bodyCopies' | 'fetches';

/** Takes the lots whose rows have changed, each once. */
export interface LotWatcher {
  readonly takeChanges: () => ReadonlySet<LotId>;
}

/** The identifier of a sample begins with that of its lot, so that a removed row still names it. */
const lotIdOfSample = (sample: SampleId): LotId => asBrand(sample.split('/')[0]!);

type CreateChangeReader = (world: World) => () => readonly LotId[];

/** How the lots are found for the changes of each table. */
const changeReaderFactories: Readonly<Record<WatchedTable, CreateChangeReader>> = {
  lots: (world) => {
    const changes = world.lots.readChanges();
    return () => changes.take();
  },
  samples: (world) => {
    const changes = world.samples.readChanges();
    return () => changes.take().map(lotIdOfSample);
  },
  sampleRuns: (world) => {
    const changes = world.sampleRuns.readChanges();
    return () => changes.take().map(lotIdOfSample);
  },
  lotWindows: (world) => {
    const changes = world.lotWindows.readChanges();
    return () => changes.take();
  },
  bodyCopies: (world) => {
    const changes = world.bodyCopies.readChanges();
    return () => changes.take().flatMap((id) => world.bodyCopies.get(id)?.lot ?? []);
  },
  fetches: (world) => {
    const changes = world.fetches.readChanges();
    return () => changes.take().flatMap((id) => world.fetches.get(id)?.lot ?? []);
  },
};

/** Creates a watcher over some tables. */
export const createLotWatcher = (world: World, tables: readonly WatchedTable[]): LotWatcher => {
  const changeReaders = tables.map((table) => changeReaderFactories[table](world));
  return { takeChanges: () => new Set(changeReaders.flatMap((take) => take())) };
};
