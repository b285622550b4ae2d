/**
 * The message in which an entry reports the demand of its workspaces to the other entries, and its
 * handler. A report replaces the previous report of the same sender.
 */
import * as z from 'zod';
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId, WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';

export const workspaceDemandSchema = z.object({
  kind: z.literal('workspaceDemand'),
  /** One element for each workspace with waiting or running requests on the sender. */
  demands: z.array(
    z.object({ workspace: z.string().min(1), requests: z.number().int().positive() }),
  ),
});

/** Messages that report demand. */
export type DemandMessage = z.infer<typeof workspaceDemandSchema>;

/** A report expires after this many heartbeat intervals. */
const reportLifetimeIntervals = 3;

const demandIdOf = (daemon: DaemonId, workspace: string): Brand<'demand'> =>
  asBrand(`${daemon}/${workspace}`);

const removeUnreportedDemands = (
  world: World,
  daemon: DaemonId,
  reportedWorkspaces: ReadonlySet<string>,
): void =>
  world.demands
    .where('daemon', daemon)
    .filter((row) => !reportedWorkspaces.has(row.workspace))
    .forEach((row) => world.demands.remove(row.id));

export const demandHandlers: HandlerTable<DemandMessage, void, [World, DaemonRow, Instant]> = {
  workspaceDemand: ({ demands }, world, { id: daemon }, now) => {
    const lifetime = reportLifetimeIntervals * world.deployment.timing.heartbeatMilliseconds;
    removeUnreportedDemands(world, daemon, new Set(demands.map((demand) => demand.workspace)));
    demands.forEach(({ workspace, requests }) =>
      world.demands.put({
        id: demandIdOf(daemon, workspace),
        daemon,
        workspace: asBrand<WorkspaceName>(workspace),
        requests,
        expiryDeadline: deadlineAfter(now, lifetime),
      }),
    );
  },
};
