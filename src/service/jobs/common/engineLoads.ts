/**
 * Exchanges how many runs each runner has on each engine, so that several runners share the slots of
 * the engines. The leader, which runs the jobs without home regions, takes part while there are open
 * jobs with home regions; nothing is sent while there are none.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipOf } from '../../consensus/common/lease.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId, UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { openHomeJobsOf } from './jobRunner.js';
import { ownLoadsId, type EngineLoadsReported, type OwnLoadsRow } from './runnerTables.js';

/** Shortest interval of reports: a fraction of the time that an item runs. */
const reportIntervalMilliseconds: Milliseconds = 200;

/** Time for which a report counts; a runner that is lost frees its slots after it. */
const validityMilliseconds: Milliseconds = 2_000;

/** Interval at which unchanged loads are reported again: half of their validity. */
const repeatIntervalMilliseconds: Milliseconds = validityMilliseconds / 2;

const noLoads = '[]';

const unreported: OwnLoadsRow = {
  id: ownLoadsId,
  receivers: '',
  loads: noLoads,
  reportedAt: Number.NEGATIVE_INFINITY,
  reportDeadline: never,
};

/**
 * Returns the daemons that assign runs, or may do so next: the holders of jobs with home regions,
 * among which runners are appointed, and the leader.
 */
const receiversOf = (world: World): string[] => {
  const jobs = openHomeJobsOf(world);
  if (jobs.length === 0) return [];
  const holders = jobs.flatMap((job) => job.holders ?? []);
  const names = new Set([...holders, leadershipOf(world).leader]);
  return [...names]
    .filter((name) => name !== null)
    .filter((name) => name !== world.self.name)
    .sort();
};

const ownLoadsOf = (world: World): [string, number][] =>
  [...world.runs.values('upstream')]
    .map((upstream): [string, number] => [upstream, world.runs.count('upstream', upstream)])
    .sort(([first], [second]) => first.localeCompare(second));

/** Returns the time of the next report; a new receiver gets one at once. */
const computeReportTime = (row: OwnLoadsRow, receivers: string, loads: string): Instant => {
  if (receivers !== row.receivers) return row.reportedAt;
  if (loads !== row.loads) return deadlineAfter(row.reportedAt, reportIntervalMilliseconds);
  return loads === noLoads ? never : deadlineAfter(row.reportedAt, repeatIntervalMilliseconds);
};

const reportLoads = (world: World, now: Instant): void => {
  const row = world.ownLoads.get(ownLoadsId) ?? unreported;
  const receivers = receiversOf(world);
  const loads = receivers.length === 0 ? [] : ownLoadsOf(world);
  const columns = { receivers: receivers.join(), loads: JSON.stringify(loads) };
  const reportTime = computeReportTime(row, columns.receivers, columns.loads);
  if (reportTime > now) {
    if (reportTime !== row.reportDeadline)
      world.ownLoads.put({ ...row, reportDeadline: reportTime });
    return;
  }
  receivers.forEach((to) =>
    world.outgoingMessages.append({
      to: asBrand<DaemonId>(to),
      message: { kind: 'engineLoadsReported', loads },
    }),
  );
  const reportDeadline =
    loads.length === 0 ? never : deadlineAfter(now, repeatIntervalMilliseconds);
  world.ownLoads.put({ id: ownLoadsId, ...columns, reportedAt: now, reportDeadline });
};

/** Handler of the message with which a runner reports its runs. */
export const engineLoadHandlers: HandlerTable<
  EngineLoadsReported,
  void,
  [World, DaemonRow, Instant]
> = {
  engineLoadsReported: ({ loads }, world, { id: runner }, now) => {
    world.engineLoads.where('runner', runner).forEach(({ id }) => world.engineLoads.remove(id));
    loads.forEach(([upstream, count]) =>
      world.engineLoads.put({
        id: asBrand(`${runner}/${upstream}`),
        runner,
        upstream: asBrand<UpstreamId>(upstream),
        count,
        loadDeadline: deadlineAfter(now, validityMilliseconds),
      }),
    );
  },
};

/** Creates the system that reports the own runs, and removes the loads that are out of date. */
export const createEngineLoadSystem = (world: World): System => {
  const changeReaders = [
    world.runs.createChangeReader(),
    world.jobs.createChangeReader(),
    world.leadership.createChangeReader(),
  ];
  return {
    name: 'engineLoad',
    run: (now) => {
      world.engineLoads.takeDue('load', now).forEach(({ id }) => world.engineLoads.remove(id));
      const hasChanges = changeReaders.map((reader) => reader.take().length > 0).includes(true);
      const isDue = world.ownLoads.takeDue('report', now).length > 0;
      if (hasChanges || isDue) reportLoads(world, now);
    },
  };
};
