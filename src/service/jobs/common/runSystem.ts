/**
 * Runs the items of open jobs while this daemon leads: what is not listed gets a run, runs are given to
 * upstreams elsewhere, and what the port reports decides how each goes on. A text that broke goes on
 * after its last whole event at another upstream.
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
import { JobState, RunState, type JobRow, type RunFact, type RunRow } from './jobTables.js';
import { allowsVersions } from './allowedVersions.js';
import { notePace } from './enginePace.js';
import { cancelScoring, DeathCause, listItem } from './listItems.js';
import { saveMilliseconds, saveText } from './saveTexts.js';
import { insertRuns } from './insertRuns.js';
import { avoidUpstream, fromTheStart, recordRun, stopRunning } from './runChanges.js';
import { beginScoring } from './scoring.js';

/** How long a run may be silent: twenty pauses between events, or three on an engine eight times as slow. */
const progressMilliseconds = 900;

/** How long an engine that loads weights may keep its runs waiting beyond the time of the load. */
const loadSlackMilliseconds = 1_500;

/** After this time a run is looked at again whose engine loads. */
const loadCheckMilliseconds = 300;

/** Before an item that an upstream did not take is offered again; a load ends to within this time. */
const notTakenMilliseconds = 120;

/** An upstream that did not take an item gets nothing for this time where another one can run it. */
const notTakenAvoidMilliseconds = 100;

const removeRuns = (world: World, runs: readonly RunRow[]): void =>
  runs.forEach((run) => {
    cancelScoring(world, run);
    world.runs.remove(run.id);
  });

const joinText = (first: string, events: readonly string[], hadEvents: boolean): string => {
  if (events.length === 0) return first;
  const added = events.join('\n');
  return hadEvents ? `${first}\n${added}` : added;
};

/** The columns of a run with the events that came. */
const withEvents = (
  run: RunRow,
  events: readonly string[],
  versions: readonly number[],
): Pick<RunRow, 'events' | 'text' | 'versions'> => ({
  events: run.events + events.length,
  text: joinText(run.text, events, run.events > 0),
  versions: [...new Set([...run.versions, ...(events.length > 0 ? versions : [])])].sort(
    (first, second) => first - second,
  ),
});

const maximumFailuresOf = (world: World, job: JobRow): number =>
  findRoute(world, job.host, job.path)?.maximumAttempts ?? 1;

type Context = [World, RunRow, JobRow, Instant];

const giveUp = (world: World, run: RunRow, cause: DeathCause): void =>
  listItem(world, run, { result: ItemResult.Dead, cause });

const handlers: HandlerTable<RunFact, void, Context> = {
  progress: (fact, world, run, job, now) => {
    notePace(world, run, fact.text.length, now);
    const progressDeadline = deadlineAfter(now, progressMilliseconds);
    const columns = withEvents(run, fact.text, fact.versions);
    const progress = { ...columns, progressedAt: now, progressDeadline };
    const changed = world.runs.change(run.id, progress)!;
    if (now >= run.saveDeadline && allowsVersions(world, job, columns.versions)) {
      saveText(world, changed, deadlineAfter(now, saveMilliseconds));
    }
  },
  whole: (fact, world, run, job, now) => {
    const columns = withEvents(run, fact.text, fact.versions);
    if (!allowsVersions(world, job, columns.versions)) {
      world.metrics.count('runs.versionNotAllowed');
      stopRunning(world, run, fromTheStart, now);
      return;
    }
    beginScoring(world, world.runs.change(run.id, columns)!);
  },
  broken: (fact, world, run, job, now) => {
    const columns = withEvents(run, fact.text, fact.versions);
    recordRun(world, EventKind.RunBroken, { ...run, events: columns.events }, fact.reason);
    avoidUpstream(world, run, now);
    const kept = allowsVersions(world, job, columns.versions) ? columns : fromTheStart;
    stopRunning(world, run, kept, now);
  },
  notRun: ({ reason }, world, run, _job, now) => {
    recordRun(world, EventKind.RunNotTaken, run, reason);
    avoidUpstream(world, run, now, notTakenAvoidMilliseconds);
    stopRunning(world, run, { backoffDeadline: deadlineAfter(now, notTakenMilliseconds) }, now);
  },
  failed: (_, world, run, job, now) => {
    const failures = run.failures + 1;
    recordRun(world, EventKind.RunFailed, run, `failure ${failures}`);
    if (failures >= maximumFailuresOf(world, job)) giveUp(world, run, DeathCause.EnginesFailed);
    else stopRunning(world, run, { failures, ...fromTheStart }, now);
  },
  impossible: (_, world, run) => giveUp(world, run, DeathCause.Impossible),
};

const takeFact = (world: World, fact: RunFact, now: Instant): void => {
  const run = world.runs.get(fact.item);
  const job = run === undefined ? undefined : world.jobs.get(run.job);
  if (run?.state !== RunState.Running || job === undefined || run.start !== fact.start) {
    world.metrics.count('runs.lateFacts', 1, { fact: fact.kind });
    return;
  }
  dispatchByKind<RunFact, void, Context>(handlers, fact, world, run, job, now);
};

/** Whether the engine of a run has accepted to load weights and may not have done so yet. */
const isLoading = (world: World, { upstream }: RunRow, now: Instant): boolean => {
  const order = upstream === null ? undefined : world.weightOrders.get(upstream);
  const isAccepted = order !== undefined && order.loadedDeadline !== never;
  return isAccepted && now < order.loadedDeadline + loadSlackMilliseconds;
};

/** Leaves an upstream that has fallen silent; the text goes on elsewhere after what has come. */
const leaveSilent = (world: World, run: RunRow, now: Instant): void => {
  if (isLoading(world, run, now)) {
    const progressDeadline = deadlineAfter(now, loadCheckMilliseconds);
    world.runs.change(run.id, { progressDeadline });
    return;
  }
  world.metrics.count('runs.silent');
  recordRun(world, EventKind.RunSilent, run, 'no event in time');
  avoidUpstream(world, run, now);
  stopRunning(world, run, {}, now);
};

/** A result of an earlier lease of this daemon may be agreed after its item has a run again. */
const isDone = (world: World, job: JobRow, run: RunRow): boolean =>
  job.state === JobState.Ended || world.jobItems.get(run.id)?.isListed !== false;

const seeToJob = (world: World, job: JobRow, now: Instant): void => {
  const runs = world.runs.where('job', job.id);
  removeRuns(
    world,
    runs.filter((run) => isDone(world, job, run)),
  );
  if (job.state === JobState.Open) insertRuns(world, job, now);
};

/** Creates the system of runs. */
export const createRunSystem = (world: World): System => {
  const changedJobs = world.jobs.createChangeReader();
  let ledTerm = 0;

  const seeToAll = (now: Instant): void =>
    [...world.jobs.rows()].forEach((job) => seeToJob(world, job, now));

  const lead = (now: Instant): void => {
    const { term } = leadershipOf(world);
    const changed = changedJobs.take();
    if (ledTerm !== term) seeToAll(now);
    else {
      changed
        .map((id) => world.jobs.get(id))
        .filter((job) => job !== undefined)
        .forEach((job) => seeToJob(world, job, now));
    }
    ledTerm = term;
    world.runs.takeDue('life', now).forEach((run) => giveUp(world, run, DeathCause.TimeOver));
    world.runs.takeDue('progress', now).forEach((run) => leaveSilent(world, run, now));
  };

  return {
    name: 'run',
    run: (now) => {
      world.runFacts.takeAll().forEach((fact) => takeFact(world, fact, now));
      if (isCurrentLeader(replicaOf(world), now)) {
        lead(now);
        return;
      }
      changedJobs.take();
      ledTerm = 0;
      removeRuns(world, [...world.runs.rows()]);
    },
  };
};
