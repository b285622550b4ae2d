/**
 * Port of job reads: adds a row for each read and resolves its promise once a system has set the
 * answer.
 */
import { deadlineAfter, type Clock, type Milliseconds } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import type { FinalAnswer, JobQuestion } from '../../../service/jobs/common/jobReadMessages.js';
import type { JobReadId } from '../../../service/jobs/common/jobReads.js';
import type { World } from '../../../service/world/common/world.js';

/** Parameters of a job read. */
export interface JobRead {
  readonly job: string;
  readonly workspace: string | null;
  readonly question: JobQuestion;
  /** Time until the read expires with the answer `unsure`. */
  readonly remaining: Milliseconds;
}

/** Port of job reads; `drain` runs after each tick. */
export interface JobReadPort {
  readonly read: (request: JobRead) => Promise<FinalAnswer>;
  readonly drain: () => void;
}

/** Creates the port. `wake` requests a tick. */
export const createJobReadPort = (world: World, clock: Clock, wake: () => void): JobReadPort => {
  const pending = new Map<JobReadId, (answer: FinalAnswer) => void>();
  const changes = world.jobReads.createChangeReader(RowReader.Port);

  const resolveRead = (id: JobReadId): void => {
    const answer = world.jobReads.get(id)?.answer ?? null;
    if (answer === null) return;
    pending.get(id)?.(answer);
    pending.delete(id);
    world.jobReads.remove(id);
  };

  return {
    read: ({ job, workspace, question, remaining }) =>
      new Promise((resolve) => {
        const id = world.identifiers.next<JobReadId>('read');
        const now = clock();
        pending.set(id, resolve);
        world.jobReads.put({
          id,
          job,
          workspace,
          question,
          answer: null,
          sendDeadline: now,
          readDeadline: deadlineAfter(now, remaining),
        });
        wake();
      }),
    drain: () => changes.take().forEach(resolveRead),
  };
};
