/**
 * Assigns waiting runs to engines that have free slots. Only the leader assigns runs, so no slot
 * is booked twice. Runs are ordered by the priority of the route, then groups that the trainer
 * waits for before spare ones, then older jobs, then the longest items. Items of one group are
 * assigned to the same engine where possible, because the engine then processes their common
 * prompt only once.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../consensus/common/replicaTables.js';
import { selectService, findRoute } from '../../declaration/common/findRoute.js';
import type { RouteRow } from '../../declaration/common/declarationTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import { isOverdue } from '../../registry/common/registrySystem.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { expectedVersionOf, freeSlotsOf, canServeVersion } from './engineChoice.js';
import { findSlowEngines } from './enginePace.js';
import { RunState, type JobItemRow, type JobRow, type RunRow } from './jobTables.js';

/** Timeout for the first event of a run; an engine processes a prompt in tens of milliseconds. */
const firstEventTimeoutMilliseconds = 1_500;

interface Candidate {
  readonly run: RunRow;
  readonly item: JobItemRow;
  readonly job: JobRow;
  readonly route: RouteRow;
}

const candidateOf = (world: World, run: RunRow): Candidate | undefined => {
  const item = world.jobItems.get(run.id);
  const job = world.jobs.get(run.job);
  const route = job === undefined ? undefined : findRoute(world, job.host, job.path);
  if (item === undefined || job === undefined || route === undefined) return undefined;
  return { run, item, job, route };
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

const selectEngine = (
  world: World,
  candidate: Candidate,
  now: Instant,
): RegistrationRow | undefined => {
  const { job, route } = candidate;
  const service = selectService(world, route);
  const slowEngineIds = findSlowEngines(world, service);
  const freeEngines = world.registrations
    .where('service', service)
    .filter((row) => canServeVersion(world, row, job, now) && freeSlotsOf(world, row) > 0);
  const preferredEngines = freeEngines.filter(
    (row) => row.avoidDeadline <= now && !slowEngineIds.has(row.id) && !isOverdue(row, now),
  );
  const eligibleEngines = preferredEngines.length > 0 ? preferredEngines : freeEngines;
  return (
    engineOfGroup(world, candidate, eligibleEngines) ??
    engineWithMostFreeSlots(world, eligibleEngines)
  );
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

const assignRun = (world: World, candidate: Candidate, now: Instant): void => {
  const { run } = candidate;
  const engine = selectEngine(world, candidate, now);
  if (engine === undefined) return;
  recordRunStart(world, candidate, engine);
  world.runs.change(run.id, {
    state: RunState.Running,
    upstream: engine.id,
    lastProgressAt: Number.NEGATIVE_INFINITY,
    expectedVersion: expectedVersionOf(world, engine, candidate.job),
    start: run.start + 1,
    progressDeadline: deadlineAfter(now, firstEventTimeoutMilliseconds),
  });
};

const assignWaitingRuns = (world: World, now: Instant): void =>
  world.runs
    .where('state', RunState.Waiting)
    .filter(({ backoffDeadline }) => backoffDeadline <= now)
    .map((run) => candidateOf(world, run))
    .filter((candidate) => candidate !== undefined)
    .sort(compareCandidates)
    .forEach((candidate) => assignRun(world, candidate, now));

/** Creates the system that assigns waiting runs to engines. */
export const createAssignmentSystem = (world: World): System => {
  const changeReaders = [
    world.runs.createChangeReader(),
    world.registrations.createChangeReader(),
    world.weightOrders.createChangeReader(),
  ];
  return {
    name: 'assignment',
    run: (now) => {
      const hasChanges = changeReaders.map((reader) => reader.take().length > 0).includes(true);
      const hasDueLoad = world.weightOrders.takeDue('loaded', now).length > 0;
      const hasDueRows = world.runs.takeDue('backoff', now).length > 0 || hasDueLoad;
      const isLeader = isCurrentLeader(replicaOf(world), now);
      if ((hasChanges || hasDueRows) && isLeader) assignWaitingRuns(world, now);
    },
  };
};
