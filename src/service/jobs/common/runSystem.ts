/**
 * Manages the runs of the open jobs that this daemon runs. There is a run for each item without a
 * listed result. It applies the facts that the port reports; the assignment system assigns the runs
 * to upstreams. A text whose stream broke continues after its last complete event
 * on another upstream of the same software version.
 */
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipOf } from '../../consensus/common/lease.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../consensus/common/replicaTables.js';
import { findRoute } from '../../declaration/common/findRoute.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { ItemResult } from './jobCommands.js';
import { RunState, type JobRow, type RunFact, type RunRow } from './jobTables.js';
import { isVersionSetAllowed } from './allowedVersions.js';
import { recordEnginePace } from './enginePace.js';
import { isRunnerCurrent } from './jobRunner.js';
import { ItemFailureCause, queueItemResult } from './listItems.js';
import { saveIntervalMilliseconds, queueTextRemoval, queueUnsavedText } from './saveTexts.js';
import { removeExpiredResults, updateRuns } from './ownRuns.js';
import {
  avoidUpstream,
  computeBackoff,
  emptyTextColumns,
  recordRunEvent,
  requeueRun,
} from './runChanges.js';
import { continuationDeadlineOf, discardText } from './textContinuation.js';
import { completeText, confirmByProgress } from './textSources.js';

/**
 * Timeout for the progress of a run: twenty pauses between events, or three on an engine that is
 * eight times as slow.
 */
const progressTimeoutMilliseconds = 900;

/** Time beyond the expected load time for which an engine that loads weights may pause its runs. */
const loadGraceMilliseconds = 1_500;

/** Interval at which a run is checked while its engine loads weights. */
const loadCheckIntervalMilliseconds = 300;

/**
 * Delay before an item that an upstream refused can be assigned again. A weight load that ends
 * in the meantime is noticed at most this late.
 */
const refusalBackoffMilliseconds = 120;

/** Time for which new runs avoid an upstream that refused an item, if another can run them. */
const refusalAvoidanceMilliseconds = 100;

/**
 * Starts without a further event, and without a marked end, after which a text counts as complete.
 * A single one may have been cut before its first event.
 */
const neededConfirmations = 3;

const appendEvents = (text: string, events: readonly string[], hasEvents: boolean): string => {
  if (events.length === 0) return text;
  const added = events.join('\n');
  return hasEvents ? `${text}\n${added}` : added;
};

/** Returns the text columns of a run with the received events appended. */
const textColumnsWithEvents = (
  run: RunRow,
  events: readonly string[],
  versions: readonly number[],
): Pick<RunRow, 'events' | 'text' | 'versions'> => ({
  events: run.events + events.length,
  text: appendEvents(run.text, events, run.events > 0),
  versions: [...new Set([...run.versions, ...(events.length > 0 ? versions : [])])].sort(
    (first, second) => first - second,
  ),
});

const maximumFailuresOf = (world: World, job: JobRow): number =>
  findRoute(world, job.host, job.path)?.maximumAttempts ?? 1;

type RunContext = [World, RunRow, JobRow, Instant];

const abandonItem = (world: World, run: RunRow, cause: ItemFailureCause): void =>
  queueItemResult(world, run, { result: ItemResult.Dead, cause });

interface ReceivedText {
  readonly text: readonly string[];
  readonly versions: readonly number[];
}

/** Whether the start of a run that ends with this fact brought events, now or with its progress. */
const hasBroughtEvents = (run: RunRow, { text }: ReceivedText): boolean =>
  text.length > 0 || Number.isFinite(run.lastProgressAt);

/** Completes a text, or runs the item again if the job does not allow its weight versions. */
const finishText = (
  world: World,
  run: RunRow,
  job: JobRow,
  { text, versions }: ReceivedText,
  now: Instant,
): void => {
  const columns = textColumnsWithEvents(run, text, versions);
  if (!isVersionSetAllowed(world, job, columns.versions)) {
    world.metrics.count('runs.versionNotAllowed');
    requeueRun(world, run, emptyTextColumns, now);
    return;
  }
  completeText(world, world.runs.change(run.id, columns)!);
};

/** Requeues a run with the text received so far, or without it if the job does not allow it. */
const continueText = (
  world: World,
  run: RunRow,
  job: JobRow,
  received: ReceivedText,
  reason: string,
  now: Instant,
): void => {
  const columns = textColumnsWithEvents(run, received.text, received.versions);
  recordRunEvent(world, EventKind.RunBroken, { ...run, events: columns.events }, reason);
  const isAllowed = isVersionSetAllowed(world, job, columns.versions);
  const keptColumns = isAllowed ? columns : emptyTextColumns;
  requeueRun(world, run, { ...keptColumns, inconclusiveAnswers: 0 }, now);
};

const runFactHandlers: HandlerTable<RunFact, void, RunContext> = {
  progress: (fact, world, run, job, now) => {
    recordEnginePace(world, run, fact.text.length, now);
    confirmByProgress(world, run, now);
    const progressDeadline = deadlineAfter(now, progressTimeoutMilliseconds);
    const columns = textColumnsWithEvents(run, fact.text, fact.versions);
    const progress = {
      ...columns,
      inconclusiveAnswers: 0,
      confirmations: 0,
      lastProgressAt: now,
      progressDeadline,
    };
    const updatedRun = world.runs.change(run.id, progress)!;
    if (now >= run.saveDeadline && isVersionSetAllowed(world, job, columns.versions)) {
      queueUnsavedText(world, updatedRun, deadlineAfter(now, saveIntervalMilliseconds));
    }
  },
  whole: (fact, world, run, job, now) => finishText(world, run, job, fact, now),
  unconfirmed: (fact, world, run, job, now) => {
    const confirmations = hasBroughtEvents(run, fact) ? 0 : run.confirmations + 1;
    const updatedRun = world.runs.change(run.id, { confirmations })!;
    if (confirmations >= neededConfirmations) finishText(world, updatedRun, job, fact, now);
    else continueText(world, updatedRun, job, fact, 'response without a marked end', now);
  },
  broken: (fact, world, run, job, now) => {
    avoidUpstream(world, run, now);
    const updatedRun = world.runs.change(run.id, { confirmations: 0 })!;
    continueText(world, updatedRun, job, fact, fact.reason, now);
  },
  inconclusive: ({ reason }, world, run, _job, now) => {
    recordRunEvent(world, EventKind.RunBroken, run, reason);
    avoidUpstream(world, run, now);
    const backoffDeadline = deadlineAfter(now, computeBackoff(run.inconclusiveAnswers));
    const inconclusiveAnswers = run.inconclusiveAnswers + 1;
    requeueRun(world, run, { inconclusiveAnswers, confirmations: 0, backoffDeadline }, now);
  },
  excessive: ({ reason }, world, run, _job, now) => {
    recordRunEvent(world, EventKind.RunBroken, run, reason);
    avoidUpstream(world, run, now);
    queueTextRemoval(world, run);
    const discarded = discardText(world, run, reason);
    const backoffDeadline = deadlineAfter(now, computeBackoff(run.inconclusiveAnswers));
    const inconclusiveAnswers = run.inconclusiveAnswers + 1;
    requeueRun(world, discarded, { inconclusiveAnswers, backoffDeadline }, now);
  },
  notRun: ({ reason }, world, run, _job, now) => {
    recordRunEvent(world, EventKind.RunNotStarted, run, reason);
    avoidUpstream(world, run, now, refusalAvoidanceMilliseconds);
    requeueRun(
      world,
      run,
      {
        backoffDeadline: deadlineAfter(now, refusalBackoffMilliseconds),
        continuationDeadline: continuationDeadlineOf(run, now),
      },
      now,
    );
  },
  failed: (_, world, run, job, now) => {
    const failures = run.failures + 1;
    recordRunEvent(world, EventKind.RunFailed, run, `failure ${failures}`);
    if (failures >= maximumFailuresOf(world, job))
      abandonItem(world, run, ItemFailureCause.EnginesFailed);
    else requeueRun(world, run, { failures, ...emptyTextColumns }, now);
  },
  impossible: (_, world, run) => abandonItem(world, run, ItemFailureCause.Impossible),
};

const handleRunFact = (world: World, fact: RunFact, now: Instant): void => {
  const run = world.runs.get(fact.item);
  const job = run === undefined ? undefined : world.jobs.get(run.job);
  if (run?.state !== RunState.Running || job === undefined || run.start !== fact.start) {
    world.metrics.count('runs.lateFacts', 1, { fact: fact.kind });
    return;
  }
  dispatchByKind<RunFact, void, RunContext>(runFactHandlers, fact, world, run, job, now);
};

/** Whether the engine of a run has accepted a weight order and may still be loading. */
const isLoadingWeights = (world: World, { upstream }: RunRow, now: Instant): boolean => {
  const order = upstream === null ? undefined : world.weightOrders.get(upstream);
  const isAccepted = order !== undefined && order.loadedDeadline !== never;
  return isAccepted && now < order.loadedDeadline + loadGraceMilliseconds;
};

/**
 * Requeues a run whose upstream is unresponsive; another upstream continues the text received so
 * far.
 */
const abandonUnresponsiveEngine = (world: World, run: RunRow, now: Instant): void => {
  if (isLoadingWeights(world, run, now)) {
    const progressDeadline = deadlineAfter(now, loadCheckIntervalMilliseconds);
    world.runs.change(run.id, { progressDeadline });
    return;
  }
  world.metrics.count('runs.silent');
  recordRunEvent(world, EventKind.RunTimedOut, run, 'no event in time');
  avoidUpstream(world, run, now);
  requeueRun(world, run, {}, now);
};

/** Creates the system that manages runs. */
export const createRunSystem = (world: World): System => {
  const jobChanges = world.jobs.createChangeReader();
  let lastLedTerm = 0;
  let wasCurrent = false;

  /** Returns whether this daemon became or stopped being the leader, or current. */
  const updateRole = (now: Instant): boolean => {
    const ledTerm = isCurrentLeader(replicaOf(world), now) ? leadershipOf(world).term : 0;
    const isCurrent = isRunnerCurrent(world, now);
    const hasChanged = ledTerm !== lastLedTerm || isCurrent !== wasCurrent;
    if (isCurrent && !wasCurrent) removeExpiredResults(world);
    lastLedTerm = ledTerm;
    wasCurrent = isCurrent;
    return hasChanged;
  };

  const updateAllRuns = (now: Instant): void => {
    const runJobIds = [...world.runs.rows()].map(({ job }) => job);
    new Set([...[...world.jobs.rows()].map(({ id }) => id), ...runJobIds]).forEach((id) =>
      updateRuns(world, id, now),
    );
  };

  return {
    name: 'run',
    run: (now) => {
      world.runFacts.takeAll().forEach((fact) => handleRunFact(world, fact, now));
      const changedJobIds = jobChanges.take();
      if (updateRole(now)) updateAllRuns(now);
      else changedJobIds.forEach((id) => updateRuns(world, id, now));
      world.runs
        .takeDue('life', now)
        .forEach((run) => abandonItem(world, run, ItemFailureCause.LifetimeExpired));
      world.runs
        .takeDue('progress', now)
        .forEach((run) => abandonUnresponsiveEngine(world, run, now));
    },
  };
};
