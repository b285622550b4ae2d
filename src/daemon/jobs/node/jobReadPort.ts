/**
 * The port of reads of jobs: puts a question into its table and gives the answer once the row has it.
 */
import { deadlineAfter, type Clock, type Milliseconds } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import type { JobAnswer, JobQuestion } from '../../../service/jobs/common/jobReadMessages.js';
import type { JobReadId } from '../../../service/jobs/common/jobReads.js';
import type { World } from '../../../service/world/common/world.js';

/** What is read, and for whom. */
export interface JobRead {
  readonly job: string;
  readonly workspace: string | null;
  readonly question: JobQuestion;
  /** After which time the answer is `unsure`. */
  readonly remaining: Milliseconds;
}

export interface JobReadPort {
  readonly read: (request: JobRead) => Promise<JobAnswer>;
  readonly drain: () => void;
}

/** Creates the port. */
export const createJobReadPort = (world: World, clock: Clock, wake: () => void): JobReadPort => {
  const pending = new Map<JobReadId, (answer: JobAnswer) => void>();
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
