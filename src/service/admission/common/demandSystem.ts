/**
 * Broadcasts the demand of each workspace to the other entries once per heartbeat while there is
 * any, and sums the demand that they report.
 */
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { DaemonState } from '../../membership/common/membershipTables.js';
import type { WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { countRunningRequests, countWaitingRequests } from './limitShares.js';
import { demandReportId } from './demandTables.js';

const listOwnDemands = (world: World) =>
  [...world.workspaces.rows()]
    .map(({ id }) => ({
      workspace: id,
      requests: countWaitingRequests(world, id) + countRunningRequests(world, id),
    }))
    .filter(({ requests }) => requests > 0);

const broadcastDemands = (world: World, now: Instant): void => {
  const demands = listOwnDemands(world);
  [...world.daemons.rows()]
    .filter((daemon) => !daemon.isSelf && daemon.isEntry && daemon.state === DaemonState.Alive)
    .forEach(({ id }) =>
      world.outgoingMessages.append({ to: id, message: { kind: 'workspaceDemand', demands } }),
    );
  const { heartbeatMilliseconds } = world.deployment.timing;
  const reportDeadline = demands.length === 0 ? never : deadlineAfter(now, heartbeatMilliseconds);
  world.demandReports.put({ id: demandReportId, reportDeadline });
};

/** Schedules a report immediately when requests arrive on an entry that had no demand. */
const scheduleReport = (world: World, now: Instant): void => {
  const currentDeadline = world.demandReports.get(demandReportId)?.reportDeadline ?? never;
  if (currentDeadline === never)
    world.demandReports.put({ id: demandReportId, reportDeadline: now });
};

const updateOtherDemand = (world: World, workspace: WorkspaceName): void => {
  const requests = world.demands
    .where('workspace', workspace)
    .reduce((sum, row) => sum + row.requests, 0);
  if ((world.otherDemands.get(workspace)?.requests ?? 0) === requests) return;
  if (requests === 0) world.otherDemands.remove(workspace);
  else world.otherDemands.put({ id: workspace, requests });
};

/** Creates the system that exchanges demand between entries. */
export const createDemandSystem = (world: World): System => {
  const requestChanges = world.requests.createChangeReader();
  const demandChanges = world.demands.createChangeReader();
  return {
    name: 'demand',
    run: (now) => {
      if (requestChanges.take().length > 0) scheduleReport(world, now);
      if (world.demandReports.takeDue('report', now).length > 0) broadcastDemands(world, now);
      world.demands.takeDue('expiry', now).forEach((row) => world.demands.remove(row.id));
      const hasChanged = demandChanges.take().length > 0;
      if (hasChanged)
        [...world.workspaces.rows()].forEach(({ id }) => updateOtherDemand(world, id));
    },
  };
};
