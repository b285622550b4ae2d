/**
 * Maintains the flows of fair queueing. Adds the flow of a waiting request to the backlog, and
 * unblocks the flows of a workspace at its running limit when one of its requests stops running or
 * its share of the limit changes. Runs on changes of requests and of other entries' demand.
 */
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { hasRequestEnded } from '../../traffic/common/endRequest.js';
import {
  poolIdOfRequest,
  RequestState,
  type RequestRow,
} from '../../traffic/common/trafficTables.js';
import type { WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { addToBacklog } from './fairQueue.js';

const unblockFlows = (world: World, workspace: WorkspaceName): void =>
  world.flows
    .where('blocked', workspace)
    .forEach((flow) => world.flows.change(flow.id, { isBlocked: false }));

const updateFlow = (world: World, request: RequestRow): void => {
  if (request.state === RequestState.Waiting && !request.isDelayed)
    addToBacklog(world, request, poolIdOfRequest(request));
  const hasLeftRunning = request.state === RequestState.Waiting || hasRequestEnded(request);
  if (hasLeftRunning && request.workspace !== null) unblockFlows(world, request.workspace);
};

/** Creates the system that maintains the flows of fair queueing. */
export const createFlowSystem = (world: World): System => {
  const requestChanges = world.requests.createChangeReader();
  const shareChanges = world.otherDemands.createChangeReader();
  return {
    name: 'flow',
    run: () => {
      requestChanges.take().forEach((id) => {
        const request = world.requests.get(id);
        if (request !== undefined) updateFlow(world, request);
      });
      shareChanges.take().forEach((workspace) => unblockFlows(world, workspace));
    },
  };
};
