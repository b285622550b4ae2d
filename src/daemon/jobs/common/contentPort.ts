/**
 * Port of the contents of jobs with home regions: writes them to the store, digests the texts of
 * results, and stores the contents of a submitted job at its holders.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import { deadlineAfter, type Clock, type Milliseconds } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import {
  StoringState,
  type ContentStoringId,
  type ContentWrite,
} from '../../../service/jobs/common/contentTables.js';
import {
  removeStoring,
  storeResults,
  storeSubmission,
} from '../../../service/jobs/common/contentStoring.js';
import type { JobSubmitted } from '../../../service/jobs/common/jobCommands.js';
import {
  separateItemBodies,
  separateTexts,
  type ComputeDigest,
} from '../../../service/jobs/common/jobContents.js';
import type { World } from '../../../service/world/common/world.js';
import type { ContentStore } from './contentStore.js';

/** Port of contents; `drain` runs after each tick, before the drain of the peer port. */
export interface ContentPort extends Disposable {
  /**
   * Stores the bodies of a job at holders in `homes`. Resolves with the command without the bodies
   * once enough holders have synced them, or with undefined if there were too few holders in time.
   */
  readonly storeJob: (
    command: JobSubmitted,
    homes: readonly string[],
    remaining: Milliseconds,
  ) => Promise<JobSubmitted | undefined>;
  readonly drain: () => void;
}

interface PendingSubmission {
  readonly command: JobSubmitted;
  readonly resolve: (command: JobSubmitted | undefined) => void;
}

/** Creates the port. `wake` requests a tick. */
export const createContentPort = (
  world: World,
  store: ContentStore,
  computeDigest: ComputeDigest,
  clock: Clock,
  wake: () => void,
): ContentPort => {
  const pending = new Map<ContentStoringId, PendingSubmission>();
  const changes = world.contentStorings.createChangeReader(RowReader.Port);

  store.readAll((contents) => {
    world.contentFacts.append({ kind: 'recovered', contents });
    wake();
  });

  const writeContents = (write: ContentWrite): void => {
    const contents = write.contents.filter(({ digest, bytes }) => computeDigest(bytes) === digest);
    if (contents.length < write.contents.length) world.metrics.count('contents.wrongDigests');
    const report = (isStored: boolean): void => {
      if (!isStored) world.metrics.count('contents.notWritten');
      const isWhole = contents.length === write.contents.length;
      world.contentFacts.append({
        kind: 'written',
        write: { ...write, contents },
        isStored: isStored && isWhole,
      });
      wake();
    };
    store.write(write.job, contents, report);
  };

  const resolveSubmission = (id: ContentStoringId): void => {
    const row = world.contentStorings.get(id);
    const submission = pending.get(id);
    if (submission === undefined || row === undefined || row.state === StoringState.Storing) return;
    pending.delete(id);
    removeStoring(world, id);
    const { command, resolve } = submission;
    const isStored = row.state === StoringState.Stored;
    resolve(isStored ? { ...command, holders: row.holders } : undefined);
  };

  return {
    storeJob: (command, homes, remaining) =>
      new Promise((resolve) => {
        const { rows, contents } = separateItemBodies(command.items, computeDigest);
        const refusalDeadline = deadlineAfter(clock(), remaining);
        const id = storeSubmission(
          world,
          { job: command.job, homes, contents, refusalDeadline },
          clock(),
        );
        const separated = { ...command, items: [...rows], homeRegions: homes };
        pending.set(id, { command: separated, resolve });
        wake();
      }),
    drain: () => {
      world.undigestedResults.takeAll().forEach(({ job, results }) => {
        const { rows, contents } = separateTexts(results, computeDigest);
        storeResults(world, job, rows, contents, clock());
        wake();
      });
      world.contentWrites.takeAll().forEach(writeContents);
      world.contentDeletions.takeAll().forEach(store.deleteJob);
      changes.take().forEach(resolveSubmission);
    },
    dispose: changes.dispose,
  };
};
