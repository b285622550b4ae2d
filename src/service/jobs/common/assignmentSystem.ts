/**
 * Gives waiting runs to engines with free slots. One daemon assigns all runs, so slots are not booked
 * twice. Routes go by their priority, then groups that are waited for, older jobs, and the longest items.
 * Items of a group go to one engine, which then reads their prompt once.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../consensus/common/replicaTables.js';
import { drawService, findRoute } from '../../declaration/common/findRoute.js';
import type { RouteRow } from '../../declaration/common/declarationTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import { isOverdue } from '../../registry/common/registrySystem.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { expectedVersionOf, freeSlots, servesVersion } from './engineChoice.js';
import { slowEngines } from './enginePace.js';
import { RunState, type JobItemRow, type JobRow, type RunRow } from './jobTables.js';

/** How long an engine may take until its first event: the reading of a prompt takes tens of milliseconds. */
const firstEventMilliseconds = 1_500;

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

const mostFree = (world: World, rows: readonly RegistrationRow[]): RegistrationRow | undefined =>
  rows.reduce<RegistrationRow | undefined>(
    (best, row) =>
      best === undefined || freeSlots(world, row) > freeSlots(world, best) ? row : best,
    undefined,
  );

const engineOfGroup = (
  world: World,
  { run }: Candidate,
  rows: readonly RegistrationRow[],
): RegistrationRow | undefined => {
  const engines = new Set(
    world.runs.where('group', `${run.job}/${run.group}`).map(({ upstream }) => upstream),
  );
  return rows.find((row) => engines.has(row.id));
};

const chooseEngine = (
  world: World,
  candidate: Candidate,
  now: Instant,
): RegistrationRow | undefined => {
  const { job, route } = candidate;
  const service = drawService(world, route);
  const slow = slowEngines(world, service);
  const free = world.registrations
    .where('service', service)
    .filter((row) => servesVersion(world, row, job, now) && freeSlots(world, row) > 0);
  const trusted = free.filter(
    (row) => row.avoidDeadline <= now && !slow.has(row.id) && !isOverdue(row, now),
  );
  const rows = trusted.length > 0 ? trusted : free;
  return engineOfGroup(world, candidate, rows) ?? mostFree(world, rows);
};

const recordRunStart = (
  world: World,
  { run, job }: Candidate,
  { id, models, slots }: RegistrationRow,
): void =>
  world.events.append({
    kind: EventKind.RunStarted,
    subject: {
      item: run.id,
      upstream: id,
      version: models.find(({ name }) => name === job.model)?.version ?? null,
      minimumVersion: job.minimumVersion,
      running: world.runs.count('upstream', id),
      slots,
      afterEvent: run.events,
    },
  });

const assign = (world: World, candidate: Candidate, now: Instant): void => {
  const { run } = candidate;
  const engine = chooseEngine(world, candidate, now);
  if (engine === undefined) return;
  recordRunStart(world, candidate, engine);
  world.runs.change(run.id, {
    state: RunState.Running,
    upstream: engine.id,
    progressedAt: Number.NEGATIVE_INFINITY,
    expectedVersion: expectedVersionOf(world, engine, candidate.job),
    start: run.start + 1,
    progressDeadline: deadlineAfter(now, firstEventMilliseconds),
  });
};

const assignAll = (world: World, now: Instant): void =>
  world.runs
    .where('state', RunState.Waiting)
    .filter(({ backoffDeadline }) => backoffDeadline <= now)
    .map((run) => candidateOf(world, run))
    .filter((candidate) => candidate !== undefined)
    .sort(compareCandidates)
    .forEach((candidate) => assign(world, candidate, now));

/** Creates the system that assigns runs. */
export const createAssignmentSystem = (world: World): System => {
  const changes = [
    world.runs.createChangeReader(),
    world.registrations.createChangeReader(),
    world.weightOrders.createChangeReader(),
  ];
  return {
    name: 'assignment',
    run: (now) => {
      const hasChanges = changes.map((reader) => reader.take().length > 0).includes(true);
      const isLoaded = world.weightOrders.takeDue('loaded', now).length > 0;
      const isDue = world.runs.takeDue('backoff', now).length > 0 || isLoaded;
      const isLeader = isCurrentLeader(replicaOf(world), now);
      if ((hasChanges || isDue) && isLeader) assignAll(world, now);
    },
  };
};
