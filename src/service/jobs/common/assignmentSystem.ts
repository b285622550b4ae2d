/**
 * Assigns waiting runs to engines that have free slots. Only the leader assigns the runs of jobs
 * without home regions, so no slot is booked twice; it shares the slots with the runners of the
 * other jobs, as they report them to each other. Runs are ordered by the priority of the route, then
 * groups that the trainer waits for before spare ones, then older jobs, then the longest items. Items
 * of one group are assigned to the same engine where possible, because the engine then processes
 * their common prompt only once. A run with text goes to an engine of the software version that began
 * it; it waits a bounded time for one if there is any, and begins anew otherwise.
 */
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { findRoute } from '../../declaration/common/findRoute.js';
import type { RouteRow } from '../../declaration/common/declarationTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import { takePermit } from '../../places/common/coldPermits.js';
import { selectSendable } from '../../places/common/coldSelection.js';
import { isPlaceAllowed } from '../../places/common/eligibility.js';
import type { Homes } from '../../places/common/homes.js';
import { selectAllowedService } from '../../places/common/serviceChoice.js';
import { isOverdue } from '../../registry/common/registrySystem.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { expectedVersionOf, freeSlotsOf, canServeVersion } from './engineChoice.js';
import { findSlowEngines } from './enginePace.js';
import { homesOfJob } from './jobHomes.js';
import { isRunnerOf } from './jobRunner.js';
import { RunState, type JobId, type JobItemRow, type JobRow, type RunRow } from './jobTables.js';
import {
  canContinueText,
  continuationDeadlineOf,
  discardOverdueTexts,
  discardText,
  hasText,
  isTextServed,
} from './textContinuation.js';
import { recordTextSource } from './textSources.js';

/** Timeout for the first event of a run; an engine processes a prompt in tens of milliseconds. */
const firstEventTimeoutMilliseconds = 1_500;

/** What the runs of one job have in common. */
interface AssignableJob {
  readonly job: JobRow;
  readonly route: RouteRow;
  /** Regions in which its runs may be served. */
  readonly homes: Homes;
}

interface Candidate extends AssignableJob {
  readonly run: RunRow;
  readonly item: JobItemRow;
}

const findAssignableJob = (world: World, id: JobId, now: Instant): AssignableJob | undefined => {
  const job = world.jobs.get(id);
  if (job === undefined || !isRunnerOf(world, job, now)) return undefined;
  const route = findRoute(world, job.host, job.path);
  return route === undefined ? undefined : { job, route, homes: homesOfJob(world, job) };
};

/** Returns the candidates of waiting runs; routes and home regions are looked up once for a job. */
const createCandidates = (world: World, runs: readonly RunRow[], now: Instant): Candidate[] => {
  const jobs = new Map(
    [...new Set(runs.map(({ job }) => job))].map((id) => [id, findAssignableJob(world, id, now)]),
  );
  return runs.flatMap((run) => {
    const assignable = jobs.get(run.job);
    const item = world.jobItems.get(run.id);
    return assignable === undefined || item === undefined ? [] : [{ run, item, ...assignable }];
  });
};

const compareCandidates = (first: Candidate, second: Candidate): number =>
  first.route.priority - second.route.priority ||
  Number(first.run.isSpare) - Number(second.run.isSpare) ||
  first.job.submittedAt - second.job.submittedAt ||
  (second.item.expectedTokens ?? 0) - (first.item.expectedTokens ?? 0);

const engineWithMostFreeSlots = (
  world: World,
  engines: readonly RegistrationRow[],
): RegistrationRow | undefined =>
  engines.reduce<RegistrationRow | undefined>(
    (best, row) =>
      best === undefined || freeSlotsOf(world, row) > freeSlotsOf(world, best) ? row : best,
    undefined,
  );

const engineOfGroup = (
  world: World,
  { run }: Candidate,
  engines: readonly RegistrationRow[],
): RegistrationRow | undefined => {
  const groupEngineIds = new Set(
    world.runs.where('group', `${run.job}/${run.group}`).map(({ upstream }) => upstream),
  );
  return engines.find((row) => groupEngineIds.has(row.id));
};

/** What the candidates of one pass have in common, looked up at the first use. */
interface AssignmentPass {
  /** The engines of a service that have free slots. */
  readonly freeEnginesOf: (service: string) => readonly RegistrationRow[];
  readonly slowEnginesOf: (service: string) => ReadonlySet<UpstreamId>;
  /** Leaves out an engine whose last free slot was taken. */
  readonly recordAssignment: (engine: RegistrationRow) => void;
}

/** Returns a function that calls `find` once for each service. */
const findOncePerService = <Found>(find: (service: string) => Found) => {
  const foundByService = new Map<string, Found>();
  return {
    get: (service: string): Found => {
      const known = foundByService.get(service);
      if (known !== undefined) return known;
      const found = find(service);
      foundByService.set(service, found);
      return found;
    },
    set: (service: string, found: Found): void => {
      foundByService.set(service, found);
    },
  };
};

const createAssignmentPass = (world: World): AssignmentPass => {
  const freeEngines = findOncePerService<readonly RegistrationRow[]>((service) =>
    world.registrations.where('service', service).filter((row) => freeSlotsOf(world, row) > 0),
  );
  const slowEngines = findOncePerService((service) => findSlowEngines(world, service));
  return {
    freeEnginesOf: freeEngines.get,
    slowEnginesOf: slowEngines.get,
    recordAssignment: (engine) => {
      if (freeSlotsOf(world, engine) > 0) return;
      const left = freeEngines.get(engine.service).filter(({ id }) => id !== engine.id);
      freeEngines.set(engine.service, left);
    },
  };
};

interface FreeEngines {
  readonly service: string;
  readonly all: readonly RegistrationRow[];
  /** Those that are neither slow nor overdue and had no failure recently. */
  readonly preferred: readonly RegistrationRow[];
}

/** Lists the engines with free slots at places that are allowed for a run. */
const findFreeEngines = (
  world: World,
  pass: AssignmentPass,
  { job, route, homes }: Candidate,
  now: Instant,
): FreeEngines => {
  const service = selectAllowedService(world, route, homes);
  const all = pass
    .freeEnginesOf(service)
    .filter((row) => isPlaceAllowed(world, row, homes) && canServeVersion(world, row, job, now));
  if (all.length === 0) return { service, all, preferred: all };
  const slowEngineIds = pass.slowEnginesOf(service);
  const preferred = all.filter(
    (row) => row.avoidDeadline <= now && !slowEngineIds.has(row.id) && !isOverdue(row, now),
  );
  return { service, all, preferred };
};

/**
 * Returns the engines among which one is selected for a run: of those that can go on with its text,
 * the preferred ones; without any of them, all of them if no other engine is preferred either, or
 * none, so that the run waits; and any engine if the software version of the text is not served.
 */
const findEligibleEngines = (
  world: World,
  { run, job, homes }: Candidate,
  { service, all, preferred }: FreeEngines,
  now: Instant,
): readonly RegistrationRow[] => {
  const continuing = preferred.filter((row) => canContinueText(run, row));
  if (continuing.length > 0) return continuing;
  if (!hasText(run) || !isTextServed(world, service, run, job, homes, now))
    return preferred.length > 0 ? preferred : all;
  return preferred.length > 0 ? [] : all.filter((row) => canContinueText(run, row));
};

const selectEngine = (
  world: World,
  pass: AssignmentPass,
  candidate: Candidate,
  now: Instant,
): RegistrationRow | undefined => {
  const { run } = candidate;
  const freeEngines = findFreeEngines(world, pass, candidate, now);
  if (freeEngines.all.length === 0) return undefined;
  const eligible = findEligibleEngines(world, candidate, freeEngines, now);
  const isHeldForVersion = eligible.length === 0 && freeEngines.preferred.length > 0;
  if (isHeldForVersion && run.continuationDeadline === never)
    world.runs.change(run.id, { continuationDeadline: continuationDeadlineOf(run, now) });
  const sendable = selectSendable(world, [eligible], now);
  return engineOfGroup(world, candidate, sendable) ?? engineWithMostFreeSlots(world, sendable);
};

const recordRunStart = (
  world: World,
  { run, job }: Candidate,
  { id, models, slots, softwareVersion }: RegistrationRow,
): void =>
  world.events.append({
    kind: EventKind.RunStarted,
    subject: {
      item: run.id,
      upstream: id,
      softwareVersion,
      version: models.find(({ name }) => name === job.model)?.version ?? null,
      minimumVersion: job.minimumVersion,
      running: world.runs.count('upstream', id),
      slots,
      afterEvent: run.events,
    },
  });

const assignRun = (
  world: World,
  pass: AssignmentPass,
  candidate: Candidate,
  now: Instant,
): void => {
  const engine = selectEngine(world, pass, candidate, now);
  const permitDeadline = engine === undefined ? undefined : takePermit(world, engine, now);
  if (engine === undefined || permitDeadline === undefined) return;
  const run = canContinueText(candidate.run, engine)
    ? candidate.run
    : discardText(world, candidate.run, 'no engine of its software version serves');
  recordRunStart(world, { ...candidate, run }, engine);
  const startedRun = world.runs.change(run.id, {
    state: RunState.Running,
    upstream: engine.id,
    engineStartedAt: engine.startedAt,
    continuedEvents: run.events,
    softwareVersion: engine.softwareVersion,
    lastProgressAt: Number.NEGATIVE_INFINITY,
    expectedVersion: expectedVersionOf(world, engine, candidate.job),
    start: run.start + 1,
    progressDeadline: deadlineAfter(now, firstEventTimeoutMilliseconds),
    permitDeadline,
  })!;
  recordTextSource(world, startedRun, engine, now);
  pass.recordAssignment(engine);
};

/** Whether an upstream has models, or is ordered to load one; others run no items. */
const isEngine = (world: World, { id, models }: RegistrationRow): boolean =>
  models.length > 0 || world.weightOrders.has(id);

const hasFreeSlot = (world: World): boolean =>
  [...world.registrations.rows()].some(
    (row) => isEngine(world, row) && freeSlotsOf(world, row) > 0,
  );

/** Does nothing while all slots are taken, which is when most runs wait. */
const assignWaitingRuns = (world: World, now: Instant): void => {
  const runs = world.runs
    .where('state', RunState.Waiting)
    .filter(({ backoffDeadline }) => backoffDeadline <= now);
  if (runs.length === 0 || !hasFreeSlot(world)) return;
  const pass = createAssignmentPass(world);
  createCandidates(world, runs, now)
    .sort(compareCandidates)
    .forEach((candidate) => assignRun(world, pass, candidate, now));
};

/** Creates the system that assigns waiting runs to engines. */
export const createAssignmentSystem = (world: World): System => {
  const changeReaders = [
    world.runs.createChangeReader(),
    world.registrations.createChangeReader(),
    world.weightOrders.createChangeReader(),
    // A change of home regions may allow or forbid engines for runs that wait.
    world.declarations.createChangeReader(),
    world.engineLoads.createChangeReader(),
    world.coldStates.createChangeReader(),
    world.coldRequests.createChangeReader(),
  ];
  return {
    name: 'assignment',
    run: (now) => {
      const hasChanges = changeReaders.map((reader) => reader.take().length > 0).includes(true);
      const hasDueLoad = world.weightOrders.takeDue('loaded', now).length > 0;
      const hasDiscardedTexts = discardOverdueTexts(world, now);
      const hasDueRows =
        world.runs.takeDue('backoff', now).length > 0 || hasDueLoad || hasDiscardedTexts;
      if (hasChanges || hasDueRows) assignWaitingRuns(world, now);
    },
  };
};
