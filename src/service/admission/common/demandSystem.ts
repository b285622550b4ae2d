/**
 * Reports the demand of each workspace to the other entries while there is any, and sums up theirs.
 */
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { DaemonState } from '../../membership/common/membershipTables.js';
import type { WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { runningOf, waitingOf } from './limitShares.js';
import { demandReportId } from './demandTables.js';

const ownDemands = (world: World) =>
  [...world.workspaces.rows()]
    .map(({ id }) => ({ workspace: id, requests: waitingOf(world, id) + runningOf(world, id) }))
    .filter(({ requests }) => requests > 0);

const report = (world: World, now: Instant): void => {
  const demands = ownDemands(world);
  [...world.daemons.rows()]
    .filter((daemon) => !daemon.isSelf && daemon.isEntry && daemon.state === DaemonState.Alive)
    .forEach(({ id }) =>
      world.outgoingMessages.append({ to: id, message: { kind: 'workspaceDemand', demands } }),
    );
  const { heartbeatMilliseconds } = world.deployment.timing;
  const reportDeadline = demands.length === 0 ? never : deadlineAfter(now, heartbeatMilliseconds);
  world.demandReports.put({ id: demandReportId, reportDeadline });
};

/** Arms the report when requests come to an entry that had none. */
const armReport = (world: World, now: Instant): void => {
  const armed = world.demandReports.get(demandReportId)?.reportDeadline ?? never;
  if (armed === never) world.demandReports.put({ id: demandReportId, reportDeadline: now });
};

const sumUp = (world: World, workspace: WorkspaceName): void => {
  const requests = world.demands
    .where('workspace', workspace)
    .reduce((sum, row) => sum + row.requests, 0);
  if ((world.otherDemands.get(workspace)?.requests ?? 0) === requests) return;
  if (requests === 0) world.otherDemands.remove(workspace);
  else world.otherDemands.put({ id: workspace, requests });
};

/** Creates the system of demand. */
export const createDemandSystem = (world: World): System => {
  const requestChanges = world.requests.createChangeReader();
  const demandChanges = world.demands.createChangeReader();
  return {
    name: 'demand',
    run: (now) => {
      if (requestChanges.take().length > 0) armReport(world, now);
      if (world.demandReports.takeDue('report', now).length > 0) report(world, now);
      world.demands.takeDue('expiry', now).forEach((row) => world.demands.remove(row.id));
      const hasChanged = demandChanges.take().length > 0;
      if (hasChanged) [...world.workspaces.rows()].forEach(({ id }) => sumUp(world, id));
    },
  };
};
