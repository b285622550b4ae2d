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
  readonly take: () => ReadonlySet<LotId>;
}

/** The identifier of a sample begins with that of its lot, so that a removed row still names it. */
const lotOfSample = (sample: SampleId): LotId => asBrand(sample.split('/')[0]!);

type Watch = (world: World) => () => readonly LotId[];

/** How the lots are found for the changes of each table. */
const watches: Readonly<Record<WatchedTable, Watch>> = {
  lots: (world) => {
    const changes = world.lots.createChangeReader();
    return () => changes.take();
  },
  samples: (world) => {
    const changes = world.samples.createChangeReader();
    return () => changes.take().map(lotOfSample);
  },
  sampleRuns: (world) => {
    const changes = world.sampleRuns.createChangeReader();
    return () => changes.take().map(lotOfSample);
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

/** Creates a watcher over some tables. */
export const createLotWatcher = (world: World, tables: readonly WatchedTable[]): LotWatcher => {
  const takers = tables.map((table) => watches[table](world));
  return { take: () => new Set(takers.flatMap((take) => take())) };
};
