/**
 * Holds the questions of trainers until their rows have been decided.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { releaseBodies } from '../../../service/rollout/common/bodySystem.js';
import { FetchState, type FetchRow } from '../../../service/rollout/common/runRows.js';
import type { FetchId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';

/** The port; `drain` is run after each tick. */
export interface FetchPort extends Disposable {
  /** Puts the row of a fetch; answers with the row that is decided, while its bodies are in memory. */
  readonly fetch: <FetchResult>(
    row: FetchRow,
    createResult: (row: FetchRow) => FetchResult,
  ) => Promise<FetchResult>;
  readonly drain: () => void;
}

const pendingStates: ReadonlySet<FetchState> = new Set([
  FetchState.Arrived,
  FetchState.Waiting,
  FetchState.Collecting,
]);

/** Creates the port. */
export const createFetchPort = (world: World, wake: () => void): FetchPort => {
  const changes = world.fetches.createChangeReader(RowReader.Port);
  const pending = new Map<FetchId, (row: FetchRow) => void>();

  const isDecided = (row: FetchRow): boolean => !pendingStates.has(row.state);

  const resolveFetch = (row: FetchRow): void => {
    pending.get(row.id)?.(row);
    pending.delete(row.id);
    releaseBodies(world, row.id);
    world.fetches.remove(row.id);
  };

  return {
    fetch: (row, createResult) =>
      new Promise((resolve) => {
        pending.set(row.id, (decidedRow) => resolve(createResult(decidedRow)));
        world.fetches.put(row);
        wake();
      }),
    drain: () =>
      changes.take().forEach((id) => {
        const row = world.fetches.get(id);
        if (row !== undefined && isDecided(row)) resolveFetch(row);
      }),
    dispose: changes.dispose,
  };
};
