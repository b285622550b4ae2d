/**
 * The status of a lot as reported to trainers and operators.
 */
import type { LotStatus } from '../../protocol/common/trainerProtocol.js';
import type { LotId, WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { SampleState } from './ledgerRows.js';
import { RunState } from './runRows.js';

const countByState = (states: readonly string[], countInState: (state: string) => number) =>
  Object.fromEntries(states.map((state) => [state, countInState(state)]));

/** Returns the status of a lot, or undefined if the ledger has no such lot in the workspace. */
export const statusOfLot = (
  world: World,
  id: LotId,
  workspace: WorkspaceName,
): LotStatus | undefined => {
  const lot = world.lots.get(id);
  if (lot?.workspace !== workspace) return undefined;
  return {
    lot: id,
    state: lot.state,
    failure: lot.failure,
    owner: lot.owner,
    epoch: lot.epoch,
    trainerVersion: lot.trainerVersion,
    stalenessBound: lot.stalenessBound,
    nextCursor: lot.nextCursor,
    samples: countByState(Object.values(SampleState), (state) =>
      world.samples.count('lotState', `${id}/${state}`),
    ),
    runs: countByState(Object.values(RunState), (state) =>
      world.sampleRuns.count('lotState', `${id}/${state}`),
    ),
    window: world.lotWindows.get(id)?.samples ?? null,
  };
};
