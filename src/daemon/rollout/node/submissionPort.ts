/**
 * Holds the lot submissions of trainers until systems have decided their rows.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import type { Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import type { LotOpened } from '../../../service/rollout/common/putLot.js';
import { submitLot } from '../../../service/rollout/common/submissionSystem.js';
import { SubmissionState, type SubmissionRow } from '../../../service/rollout/common/runRows.js';
import type { LotId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';

/** Port of submissions; `drain` runs after each tick. */
export interface SubmissionPort extends Disposable {
  /** Submits a lot; resolves with the decided row. */
  readonly submit: (command: LotOpened) => Promise<SubmissionRow>;
  readonly drain: () => void;
}

type Resolve = (row: SubmissionRow) => void;

const isDecided = ({ state }: SubmissionRow): boolean =>
  state === SubmissionState.Opened || state === SubmissionState.Refused;

/** Creates the port. `wake` requests a tick. */
export const createSubmissionPort = (
  world: World,
  clock: Clock,
  wake: () => void,
): SubmissionPort => {
  const changes = world.submissions.createChangeReader(RowReader.Port);
  const pending = new Map<LotId, Resolve[]>();

  const resolveSubmission = (row: SubmissionRow): void => {
    pending.get(row.id)?.forEach((resolve) => resolve(row));
    pending.delete(row.id);
    world.submissions.remove(row.id);
  };

  return {
    submit: (command) =>
      new Promise((resolve) => {
        const row = submitLot(world, command, clock());
        wake();
        if (isDecided(row)) {
          resolve(row);
          return;
        }
        pending.set(row.id, [...(pending.get(row.id) ?? []), resolve]);
      }),
    drain: () =>
      changes.take().forEach((id) => {
        const row = world.submissions.get(id);
        if (row !== undefined && isDecided(row)) resolveSubmission(row);
      }),
    dispose: changes.dispose,
  };
};
