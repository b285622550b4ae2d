/**
 * Scores complete texts. The scoring request of an item is sent as an internal call, and the body
 * of its answer becomes the score of the result.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { findRoute } from '../../declaration/common/findRoute.js';
import { EventKind } from '../../events/common/eventKind.js';
import {
  CallState,
  type CallId,
  type CallUrgency,
} from '../../forwarding/common/forwardingTables.js';
import type { World } from '../../world/common/world.js';
import { ItemResult, type Scorer } from './jobCommands.js';
import { isRunnerOf } from './jobRunner.js';
import { RunState, type RunRow, type ScoreFact } from './jobTables.js';
import { ItemFailureCause, queueItemResult } from './listItems.js';

const minimumSuccessStatus = 200;
const minimumRedirectStatus = 300;

/** Delay before a failed scoring request is retried. */
const scoreRetryDelayMilliseconds = 150;

/**
 * Scoring requests have the same order as the assignment of runs, because a scoring service with
 * too few slots can be the bottleneck.
 */
const urgencyOf = (world: World, run: RunRow): CallUrgency => {
  const job = world.jobs.get(run.job);
  const route = job === undefined ? undefined : findRoute(world, job.host, job.path);
  return [route?.priority ?? 0, Number(run.isSpare), job?.submittedAt ?? 0];
};

const sendScoringRequest = (world: World, run: RunRow, scorer: Scorer): void => {
  const id = world.identifiers.next<CallId>('call');
  world.runs.change(run.id, { state: RunState.Scoring, upstream: null, call: id });
  world.events.append({
    kind: EventKind.ScoringStarted,
    subject: { item: run.id, request: scorer.requestId, scoreFailures: run.scoreFailures },
  });
  world.arrivedCalls.append({
    id,
    requestId: scorer.requestId,
    host: scorer.host,
    path: scorer.path,
    key: null,
    digest: null,
    remaining: null,
    isInternal: true,
    jobWorkspace: world.jobs.get(run.job)?.workspace ?? null,
    urgency: urgencyOf(world, run),
    takesUp: null,
  });
};

/** Requests the score of a complete text, or queues its result if the item has no scorer. */
export const startScoring = (world: World, run: RunRow): void => {
  const scorer = world.jobItems.get(run.id)?.scorer ?? null;
  if (scorer === null) queueItemResult(world, run, { result: ItemResult.Completed, score: null });
  else sendScoringRequest(world, run, scorer);
};

const isSuccess = ({ status, score }: ScoreFact): boolean =>
  status >= minimumSuccessStatus && status < minimumRedirectStatus && score !== null;

const maximumScoreFailuresOf = (world: World, run: RunRow): number => {
  const scorer = world.jobItems.get(run.id)?.scorer;
  const route = scorer ? findRoute(world, scorer.host, scorer.path) : undefined;
  return route?.maximumAttempts ?? 1;
};

/** Adds the failures that upstreams stated and retries until the attempts are used up. */
const handleScoringFailure = (world: World, run: RunRow, failures: number, now: Instant): void => {
  const scoreFailures = run.scoreFailures + failures;
  const updatedRun = world.runs.change(run.id, {
    scoreFailures,
    call: null,
    scoreRetryDeadline: deadlineAfter(now, scoreRetryDelayMilliseconds),
  })!;
  if (scoreFailures < maximumScoreFailuresOf(world, run)) return;
  queueItemResult(world, updatedRun, {
    result: ItemResult.Dead,
    cause: ItemFailureCause.ScoringFailed,
  });
};

const handleScoreFact = (world: World, fact: ScoreFact, now: Instant): void => {
  const [run] = world.runs.where('call', fact.call);
  if (run === undefined) return;
  if (isSuccess(fact))
    queueItemResult(world, run, { result: ItemResult.Completed, score: fact.score });
  else handleScoringFailure(world, run, world.calls.get(fact.call)?.failureCount ?? 0, now);
};

/** Handles a call that was refused without an answer: it is retried, and the text is kept. */
const handleRefusedCall = (world: World, id: CallId, now: Instant): void => {
  const call = world.calls.get(id);
  if (call?.state !== CallState.Refused) return;
  const [run] = world.runs.where('call', id);
  if (run !== undefined) handleScoringFailure(world, run, call.failureCount, now);
};

/** Sends the scoring request of a run again, or later if this daemon does not run its job now. */
const rescore = (world: World, run: RunRow, now: Instant): void => {
  const job = world.jobs.get(run.job);
  if (job !== undefined && isRunnerOf(world, job, now)) {
    startScoring(world, run);
    return;
  }
  const scoreRetryDeadline = deadlineAfter(now, scoreRetryDelayMilliseconds);
  world.runs.change(run.id, { scoreRetryDeadline });
};

/** Creates the system that handles scores and retries scoring requests. */
export const createScoringSystem = (world: World): System => {
  const callChanges = world.calls.createChangeReader();
  return {
    name: 'scoring',
    run: (now) => {
      world.scoreFacts.takeAll().forEach((fact) => handleScoreFact(world, fact, now));
      callChanges.take().forEach((id) => handleRefusedCall(world, id, now));
      world.runs.takeDue('rescore', now).forEach((run) => rescore(world, run, now));
    },
  };
};
