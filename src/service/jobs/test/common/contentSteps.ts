/**
 * Steps of the tests of jobs whose contents stay in their home regions.
 */
import type { ExecutionContext } from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { ItemResult } from '../../common/jobCommands.js';
import { foreignEntry, itemWithBody, type ContentFleet } from './contentFleet.js';

/** Body of the item of jobs of `submitJob`, and text of `listText`; both contain `secret`. */
export const body = 'the secret body';
export const text = 'the secret text';

/** The item of a job of `submitJob`; items of the same name would share their texts. */
export const itemOf = (job: string): string => `${job}-item`;

/** Submits a job with one item at the entry outside its home region. */
export const submitJob = async (fleet: ContentFleet, job = 'j'): Promise<void> => {
  const submission = fleet.submit(foreignEntry, job, [itemWithBody(itemOf(job), body)]);
  await fleet.runFor(600);
  if (submission.outcome() !== 'applied') throw new Error(`the job is ${submission.outcome()}`);
};

/** Completes the item of a job. */
export const listText = async (fleet: ContentFleet, job = 'j'): Promise<void> => {
  // A job without home regions has no runner.
  const runner = fleet.jobOf(fleet.leader(), job)!.runner ?? fleet.leader();
  fleet.worldOf(runner).itemResults.append({
    job: asBrand(job),
    listed: { item: itemOf(job), result: ItemResult.Completed, text, versions: [1], score: null },
  });
  fleet.installation.wake(runner);
  await fleet.runFor(600);
};

export const checkBody = async (
  t: ExecutionContext,
  fleet: ContentFleet,
  entry: string,
  job = 'j',
) => {
  const answer = await fleet.read(entry, job, { kind: 'body', item: itemOf(job) });
  t.is(answer.kind, 'body', `at ${entry}`);
  if (answer.kind === 'body') t.is(Buffer.from(answer.body).toString(), body);
};

export const checkText = async (
  t: ExecutionContext,
  fleet: ContentFleet,
  entry: string,
  job = 'j',
) => {
  const question = { kind: 'results', after: 0, waitMilliseconds: 0 } as const;
  const answer = await fleet.read(entry, job, question);
  t.is(answer.kind, 'results', `at ${entry}`);
  if (answer.kind === 'results')
    t.deepEqual(answer.results, [
      { item: itemOf(job), result: ItemResult.Completed, text, versions: [1], score: null },
    ]);
};

export const stopAll = (fleet: ContentFleet, names: readonly string[]): void =>
  names.forEach((name) => fleet.installation.stop(name));
