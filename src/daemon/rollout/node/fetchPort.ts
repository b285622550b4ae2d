/**
 * Holds the fetches of trainers until systems have decided their rows.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { releaseBodies } from '../../../service/rollout/common/bodySystem.js';
import { FetchState, type FetchRow } from '../../../service/rollout/common/runRows.js';
import type { FetchId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';

/** Port of fetches; `drain` runs after each tick. */
export interface FetchPort extends Disposable {
  /**
   * Adds the row of a fetch. Calls `createResult` with the decided row while its bodies are in
   * memory, and resolves with the result.
   */
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

/** Creates the port. `wake` requests a tick. */
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
