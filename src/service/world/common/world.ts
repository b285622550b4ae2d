/**
 * The world of one daemon: all its tables, and the settings and resources that systems use besides
 * rows.
 */
import { never, type Instant, type WallClock } from '../../../base/common/time.js';
import type { Random } from '../../../base/common/random.js';
import type { Metrics } from '../../../infrastructure/metrics/common/metrics.js';
import {
  Role,
  type DaemonSettings,
  type Deployment,
} from '../../../infrastructure/settings/common/deployment.js';
import {
  defaultFleetSettings,
  type FleetSettings,
} from '../../../infrastructure/settings/common/fleetSettings.js';
import type { AnyTable } from '../../../infrastructure/tables/common/table.js';
import { createAbsenceTables } from '../../absence/common/absenceTables.js';
import { createVoterLagTables } from '../../absence/common/voterLagTables.js';
import { createCapacityTables } from '../../capacity/common/capacityTables.js';
import { createDemandTables } from '../../admission/common/demandTables.js';
import { createConfigurationTables } from '../../configuration/common/configurationTables.js';
import { createFreshnessTables } from '../../configuration/common/freshnessTables.js';
import { createServedTables, type ServedRow } from '../../configuration/common/servedTables.js';
import { createSettingsTables } from '../../configuration/common/settingsTables.js';
import type { Tree } from '../../configuration/common/tree.js';
import { maximumVoters } from '../../consensus/common/consensusTiming.js';
import { createConsensusTables } from '../../consensus/common/consensusTables.js';
import { createDeclarationTables } from '../../declaration/common/declarationTables.js';
import { createForwardingTables } from '../../forwarding/common/forwardingTables.js';
import { createStreamOriginTables } from '../../forwarding/common/streamOrigins.js';
import { createHolderCheckTables } from '../../jobs/common/contentHolderSystem.js';
import { createContentTables } from '../../jobs/common/contentTables.js';
import { createPaceTables } from '../../jobs/common/enginePace.js';
import { createJobReadTables } from '../../jobs/common/jobReads.js';
import { createJobTables } from '../../jobs/common/jobTables.js';
import { createRunnerTables } from '../../jobs/common/runnerTables.js';
import { createTextSourceTables } from '../../jobs/common/textSources.js';
import { createMeteringTables } from '../../metering/common/meteringTables.js';
import { createColdTables } from '../../places/common/coldTables.js';
import { createEvacuationTables } from '../../places/common/evacuationTables.js';
import { createRegistryTables } from '../../registry/common/registryTables.js';
import { createVersionTables } from '../../weights/common/versionTables.js';
import { createRetryTables } from '../../dispatch/common/retryTables.js';
import { createQuarantineTables } from '../../quarantine/common/quarantineTables.js';
import { createReplicaTables } from '../../consensus/common/replicaTables.js';
import { createSnapshotTables } from '../../consensus/common/snapshotTables.js';
import { createJoinTables } from '../../consensus/common/joinTables.js';
import { createRetirementTables } from '../../consensus/common/retirementTables.js';
import { createEventTables } from '../../events/common/eventKind.js';
import { createMembershipTables } from '../../membership/common/membershipTables.js';
import { createMessageTables } from '../../messages/common/messageTables.js';
import { createOrderTables } from '../../orders/common/orderTables.js';
import { createRolloutTables } from '../../rollout/common/rolloutTables.js';
import { createTrafficTables } from '../../traffic/common/trafficTables.js';
import { createUsageTables } from '../../usage/common/usageTables.js';
import { createIdentifiers, type Identifiers } from './identifiers.js';

const createTables = () => ({
  ...createConfigurationTables(),
  ...createConsensusTables(),
  ...createReplicaTables(),
  ...createSnapshotTables(),
  ...createJoinTables(),
  ...createRetirementTables(),
  ...createDemandTables(),
  ...createRetryTables(),
  ...createQuarantineTables(),
  ...createEventTables(),
  ...createFreshnessTables(),
  ...createMembershipTables(),
  ...createMessageTables(),
  ...createOrderTables(),
  ...createRolloutTables(),
  ...createServedTables(),
  ...createSettingsTables(),
  ...createTrafficTables(),
  ...createUsageTables(),
  ...createDeclarationTables(),
  ...createRegistryTables(),
  ...createColdTables(),
  ...createForwardingTables(),
  ...createStreamOriginTables(),
  ...createJobTables(),
  ...createPaceTables(),
  ...createRunnerTables(),
  ...createTextSourceTables(),
  ...createJobReadTables(),
  ...createContentTables(),
  ...createHolderCheckTables(),
  ...createVersionTables(),
  ...createMeteringTables(),
  ...createCapacityTables(),
  ...createAbsenceTables(),
  ...createVoterLagTables(),
  ...createEvacuationTables(),
});
export type Tables = ReturnType<typeof createTables>;

/** Options of a world. The same options and the same inputs produce the same rows. */
export interface WorldOptions {
  readonly deployment: Deployment;
  readonly self: DaemonSettings;
  readonly tree: Tree;
  /** Settings that this daemon last used before its restart, if it stored them. */
  readonly restored?: Omit<ServedRow, 'id'> | undefined;
  /** Number that increases with every start of this daemon. */
  readonly incarnation: number;
  readonly random: Random;
  readonly metrics: Metrics;
  /**
   * Names of the initial voters of the log, if they are not the control daemons of the settings.
   */
  readonly voters?: readonly string[] | undefined;
  readonly fleet?: FleetSettings | undefined;
  /** Clock for timestamps that daemons share, such as usage windows; never used for deadlines. */
  readonly wallClock?: WallClock;
}

/** Tables of one daemon, and the settings and resources of its systems. */
export interface World extends Tables {
  readonly deployment: Deployment;
  readonly self: DaemonSettings;
  readonly incarnation: number;
  readonly identifiers: Identifiers;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly fleet: FleetSettings;
  /** Names of the voters with which the log starts. */
  readonly initialVoters: readonly string[];
  /** Milliseconds since the Unix epoch by this VM's wall clock. */
  readonly wallNow: WallClock;
  /** Whether the installation has control daemons; otherwise the settings file always applies. */
  readonly hasControlDaemons: boolean;
  /** Returns the current settings tree. */
  readonly tree: () => Tree;
  readonly setTree: (tree: Tree) => void;
  /**
   * Whether this daemon is leaving: it is no longer advised to callers but still accepts requests.
   */
  readonly isLeaving: () => boolean;
  readonly setLeaving: () => void;
  /** Whether earlier advice to callers has expired, so that new requests are refused. */
  readonly isRefusingNewRequests: () => boolean;
  readonly setRefusingNewRequests: () => void;
  /** Time by which every request must have its final answer, because this process stops then. */
  readonly stopDeadline: () => Instant;
  readonly setStopDeadline: (deadline: Instant) => void;
  readonly allTables: readonly AnyTable[];
}

/**
 * Returns the voters of an installation whose settings list its daemons. Its other control daemons
 * are learners that relay.
 */
const listedVoters = ({ daemons }: Deployment): string[] =>
  daemons
    .filter(({ roles }) => roles.includes(Role.Control))
    .slice(0, maximumVoters)
    .map(({ name }) => name);

/** Creates a world with empty tables. */
export const createWorld = (options: WorldOptions): World => {
  const tables = createTables();
  let { tree } = options;
  let isLeavingNow = false;
  let isRefusingNow = false;
  let currentStopDeadline: Instant = never;
  return {
    ...tables,
    deployment: options.deployment,
    self: options.self,
    incarnation: options.incarnation,
    identifiers: createIdentifiers(options.self.name, options.incarnation),
    random: options.random,
    metrics: options.metrics,
    fleet: options.fleet ?? defaultFleetSettings,
    initialVoters: options.voters ?? listedVoters(options.deployment),
    wallNow: options.wallClock ?? (() => 0),
    hasControlDaemons: options.deployment.daemons.some(({ roles }) => roles.includes(Role.Control)),
    tree: () => tree,
    setTree: (nextTree) => {
      tree = nextTree;
    },
    isLeaving: () => isLeavingNow,
    setLeaving: () => {
      isLeavingNow = true;
    },
    isRefusingNewRequests: () => isRefusingNow,
    setRefusingNewRequests: () => {
      isRefusingNow = true;
    },
    stopDeadline: () => currentStopDeadline,
    setStopDeadline: (deadline) => {
      currentStopDeadline = deadline;
    },
    allTables: Object.values(tables),
  };
};
