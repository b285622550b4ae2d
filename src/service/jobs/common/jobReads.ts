/**
 * Serves reads of jobs. The daemon that received the call sends the read to the leader and resends
 * it until an answer arrives. The leader answers from the replicated rows while it holds its
 * lease, either at once or as soon as the first new result is listed.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipOf } from '../../consensus/common/lease.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../consensus/common/replicaTables.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { ListedItem } from './jobCommands.js';
import { settleRead } from './contentReads.js';
import { hasHeldContents } from './jobContents.js';
import type { FinalAnswer, JobAnswer, JobQuestion, JobReadMessage } from './jobReadMessages.js';
import { itemIdOf, JobState, resultIdOf, type JobItemRow, type JobRow } from './jobTables.js';

export type JobReadId = Brand<'jobRead'>;

/** A read that a caller of this daemon has requested. */
export interface JobReadRow {
  readonly id: JobReadId;
  readonly job: string;
  readonly workspace: string | null;
  readonly question: JobQuestion;
  readonly answer: FinalAnswer | null;
  /** Time at which the read is sent, or resent, to the leader. */
  readonly sendDeadline: Instant;
  /** Time at which the read fails with the answer `unsure`. */
  readonly readDeadline: Instant;
}

/** A read that the leader holds until a result is listed or its wait time has passed. */
export interface HeldReadRow {
  readonly id: JobReadId;
  readonly from: DaemonId;
  readonly job: string;
  readonly after: number;
  readonly waitDeadline: Instant;
}

export const createJobReadTables = () => ({
  jobReads: createTable<JobReadRow, never, 'ask' | 'read'>({
    name: 'jobReads',
    indices: {},
    deadlines: {
      ask: (row) => (row.answer === null ? row.sendDeadline : never),
      read: (row) => (row.answer === null ? row.readDeadline : never),
    },
  }),
  heldReads: createTable<HeldReadRow, 'job', 'wait'>({
    name: 'heldReads',
    indices: { job: (row) => row.job },
    deadlines: { wait: (row) => row.waitDeadline },
  }),
});

/** Interval after which an unanswered read is resent. */
const resendIntervalMilliseconds = 400;

/** Limit of one page of results, in characters of text; a page holds at least one result. */
const maximumPageCharacters = 700_000;

const pageOf = (world: World, job: JobRow, after: number): ListedItem[] => {
  const page: ListedItem[] = [];
  let characters = 0;
  for (let position = after; position < job.listed; position += 1) {
    const row = world.jobResults.get(resultIdOf(job.id, position))!;
    characters += row.heldText?.characters ?? row.text.length;
    if (page.length > 0 && characters > maximumPageCharacters) return page;
    const { item, result, text, versions, score, heldText } = row;
    const columns = { item, result, text, versions, score };
    page.push(heldText === undefined ? columns : { ...columns, heldText });
  }
  return page;
};

const sendAnswer = (
  world: World,
  to: DaemonId,
  read: string,
  answer: JobAnswer,
  now: Instant,
): void => {
  const isSelf = world.daemons.get(to)?.isSelf === true;
  if (isSelf) settleRead(world, asBrand<JobReadId>(read), answer, now);
  else world.outgoingMessages.append({ to, message: { kind: 'jobReadAnswered', read, answer } });
};

const sendResults = (
  world: World,
  to: DaemonId,
  read: string,
  { job, after }: { readonly job: JobRow; readonly after: number },
  now: Instant,
): void => {
  const results = pageOf(world, job, after);
  const answer = { kind: 'results', total: job.total, results } as const;
  const heldAnswer = hasHeldContents(job) ? { ...answer, holders: job.holders } : answer;
  sendAnswer(world, to, read, heldAnswer, now);
};

const bodyAnswerOf = ({ body, contentDigest }: JobItemRow, { holders }: JobRow): JobAnswer =>
  contentDigest === undefined
    ? { kind: 'body', body }
    : { kind: 'heldBody', digest: contentDigest, holders };

interface ReadContext {
  readonly from: DaemonId;
  readonly read: string;
  readonly job: JobRow;
}

const questionHandlers: HandlerTable<JobQuestion, void, [World, ReadContext, Instant]> = {
  results: ({ after, waitMilliseconds }, world, { from, read, job }, now) => {
    const isComplete = job.listed === job.total || job.state === JobState.Ended;
    if (job.listed > after || isComplete || waitMilliseconds === 0) {
      sendResults(world, from, read, { job, after }, now);
      return;
    }
    const waitDeadline = deadlineAfter(now, waitMilliseconds);
    world.heldReads.put({ id: asBrand(read), from, job: job.id, after, waitDeadline });
  },
  body: ({ item }, world, { from, read, job }, now) => {
    const row = world.jobItems.get(itemIdOf(job.id, item));
    const isAvailable = row !== undefined && !row.isListed && job.state === JobState.Open;
    sendAnswer(world, from, read, isAvailable ? bodyAnswerOf(row, job) : { kind: 'absent' }, now);
  },
};

type ReadRequest = Extract<JobReadMessage, { kind: 'jobReadAsked' }>;

const handleReadRequest = (
  world: World,
  request: ReadRequest,
  from: DaemonId,
  now: Instant,
): void => {
  if (!isCurrentLeader(replicaOf(world), now)) {
    sendAnswer(world, from, request.read, { kind: 'unsure' }, now);
    return;
  }
  const job = world.jobs.get(asBrand(request.job));
  if (job === undefined || job.workspace !== request.workspace) {
    sendAnswer(world, from, request.read, { kind: 'absent' }, now);
    return;
  }
  dispatchByKind(questionHandlers, request.question, world, { from, read: request.read, job }, now);
};

/** Handlers of the messages of job reads. */
export const jobReadHandlers: HandlerTable<JobReadMessage, void, [World, DaemonRow, Instant]> = {
  jobReadAsked: (request, world, sender, now) => handleReadRequest(world, request, sender.id, now),
  jobReadAnswered: ({ read, answer }, world, _sender, now) => {
    // A daemon that answers `unsure` may have yet to take over as leader; the read is resent.
    if (answer.kind !== 'unsure') settleRead(world, asBrand<JobReadId>(read), answer, now);
  },
};

const sendReadRequest = (world: World, row: JobReadRow, now: Instant): void => {
  world.jobReads.change(row.id, { sendDeadline: deadlineAfter(now, resendIntervalMilliseconds) });
  const { leader } = leadershipOf(world);
  if (leader === null) return;
  const { id: read, job, workspace, question } = row;
  const message = { kind: 'jobReadAsked', read, job, workspace, question } as const;
  if (leader === world.self.name) handleReadRequest(world, message, leader, now);
  else world.outgoingMessages.append({ to: leader, message });
};

const answerHeldRead = (world: World, held: HeldReadRow, now: Instant): void => {
  world.heldReads.remove(held.id);
  const job = world.jobs.get(asBrand(held.job));
  const canAnswer = job !== undefined && isCurrentLeader(replicaOf(world), now);
  if (canAnswer) sendResults(world, held.from, held.id, { job, after: held.after }, now);
  else sendAnswer(world, held.from, held.id, { kind: 'unsure' }, now);
};

/** Creates the system that sends, holds and expires reads of jobs. */
export const createJobReadSystem = (world: World): System => {
  const jobChanges = world.jobs.createChangeReader();
  return {
    name: 'jobRead',
    run: (now) => {
      jobChanges
        .take()
        .flatMap((job) => world.heldReads.where('job', job))
        .forEach((held) => answerHeldRead(world, held, now));
      world.heldReads.takeDue('wait', now).forEach((held) => answerHeldRead(world, held, now));
      world.jobReads.takeDue('read', now).forEach(({ id }) => {
        world.jobReads.change(id, { answer: { kind: 'unsure' } });
      });
      world.jobReads.takeDue('ask', now).forEach((row) => sendReadRequest(world, row, now));
    },
  };
};
