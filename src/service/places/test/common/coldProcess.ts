/**
 * One daemon of `coldFleet`: its tables with the systems of calls, registrations and cold upstreams,
 * and calls that wait for an upstream.
 */
import { asBrand } from '../../../../base/common/brand.js';
import type { Random } from '../../../../base/common/random.js';
import { never, type Instant, type Milliseconds } from '../../../../base/common/time.js';
import type { Deployment } from '../../../../infrastructure/settings/common/deployment.js';
import { noopMetrics } from '../../../../infrastructure/metrics/common/metrics.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { createTicker, type Ticker } from '../../../../infrastructure/tables/common/tick.js';
import { testDeclaration } from '../../../../../standins/virtual/fleetFixture.js';
import { createTestTree } from '../../../../../standins/virtual/testDeployment.js';
import { replicaOf } from '../../../consensus/common/replicaLog.js';
import { insertReplica } from '../../../consensus/common/replicaSystem.js';
import { ReplicaState } from '../../../consensus/common/replicaTables.js';
import type { ColdStartDeclaration } from '../../../declaration/common/declaration.js';
import { declarationId } from '../../../declaration/common/declarationTables.js';
import { createSendSystem } from '../../../forwarding/common/sendSystem.js';
import {
  CallState,
  type CallId,
  type CallRow,
} from '../../../forwarding/common/forwardingTables.js';
import { insertDaemons } from '../../../membership/common/daemonRows.js';
import { createInboxSystem } from '../../../messages/common/inboxSystem.js';
import { createRegistrySystem } from '../../../registry/common/registrySystem.js';
import { createWorld, type World } from '../../../world/common/world.js';
import type { ColdLimits } from '../../common/coldBudget.js';
import { createColdSystem } from '../../common/coldSystem.js';

const service = 'planner';
const callMilliseconds: Milliseconds = 300;

export interface ColdProcessOptions {
  readonly deployment: Deployment;
  /** Position of the daemon in the deployment. */
  readonly index: number;
  readonly incarnation: number;
  readonly limits: ColdLimits;
  readonly coldStart: ColdStartDeclaration;
  readonly random: Random;
  readonly now: Instant;
}

/** Creates the tables and the ticker of a daemon that knows its declaration and no upstream. */
export const createColdProcess = ({
  deployment,
  index,
  incarnation,
  limits: { factor, slack },
  coldStart,
  random,
  now,
}: ColdProcessOptions): { readonly world: World; readonly ticker: Ticker } => {
  const { places } = defaultFleetSettings;
  const world = createWorld({
    deployment,
    self: deployment.daemons[index]!,
    tree: createTestTree(),
    incarnation,
    random,
    metrics: noopMetrics,
    fleet: { ...defaultFleetSettings, places: { ...places, coldLimit: { factor, slack } } },
  });
  insertDaemons(world, now);
  insertReplica(world, now);
  world.replica.change(replicaOf(world).id, { state: ReplicaState.Follower });
  const declaration = testDeclaration();
  const services = declaration.services.map((row) => ({ ...row, coldStart }));
  world.declarations.put({
    id: declarationId,
    declaration: { ...declaration, services },
  } as never);
  const systems = [createInboxSystem, createRegistrySystem, createSendSystem, createColdSystem].map(
    (create) => create(world),
  );
  // Only the tables that these systems change: the ticker looks at each of them in every round.
  const tables = [
    world.incomingMessages,
    world.arrivedRegistrations,
    world.registrations,
    world.calls,
    world.sends,
    world.declarations,
    world.coldStates,
    world.coldZones,
    world.coldPermits,
    world.coldRequests,
    world.coldBudgets,
    world.coldLeaderships,
    world.coldDemands,
  ];
  return { world, ticker: createTicker(tables, systems) };
};

/** Creates a call that waits for an upstream. */
export const createWaitingCall = (id: string, now: Instant): CallRow => ({
  id: asBrand<CallId>(id),
  requestId: id,
  workspace: null,
  fingerprint: null,
  route: 'r',
  routeId: null,
  homeWorkspace: null,
  admittedHomes: null,
  service,
  state: CallState.Waiting,
  arrivedAt: now,
  isInternal: false,
  urgency: [],
  isIdempotent: false,
  isResumable: false,
  continuation: null,
  softwareVersion: null,
  locationDeadline: never,
  maximumAttempts: 1,
  attempts: 0,
  failureCount: 0,
  brokenUpstreams: [],
  triedUpstreams: [],
  offerDeadline: never,
  silenceMilliseconds: never,
  callDeadline: now + callMilliseconds,
  backoffDeadline: Number.NEGATIVE_INFINITY,
  answer: null,
  refusal: null,
  retentionDeadline: never,
});
