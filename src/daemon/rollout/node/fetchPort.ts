/**
 * Holds the questions of trainers until their rows have been decided.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import { RowReader } from '../../../platform/tables/common/rowReader.js';
import { FetchState, type FetchRow } from '../../../service/rollout/common/rolloutTables.js';
import type { FetchId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';

/** The port; `drain` is run after each tick. */
export interface FetchPort extends Disposable {
  /** Puts the row of a fetch; resolves with the row that is decided. */
  readonly fetch: (row: FetchRow) => Promise<FetchRow>;
  readonly drain: () => void;
}

/** Creates the port. */
export const createFetchPort = (world: World, wake: () => void): FetchPort => {
  const changes = world.fetches.readChanges(RowReader.Port);
  const waiting = new Map<FetchId, (row: FetchRow) => void>();

  const isDecided = (row: FetchRow): boolean =>
    row.state !== FetchState.Arrived && row.state !== FetchState.Waiting;

  const finish = (row: FetchRow): void => {
    waiting.get(row.id)?.(row);
    waiting.delete(row.id);
    world.fetches.remove(row.id);
  };

  return {
    fetch: (row) =>
      new Promise((resolve) => {
        waiting.set(row.id, resolve);
        world.fetches.put(row);
        wake();
      }),
    drain: () =>
      changes.take().forEach((id) => {
        const row = world.fetches.get(id);
        if (row !== undefined && isDecided(row)) finish(row);
      }),
    dispose: changes.dispose,
  };
};
